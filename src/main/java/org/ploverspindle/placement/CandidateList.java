package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.Catalogue;

/** The groups that may grow, with the machines that a plan has requested in each so far. */
final class CandidateList {
  /** Prices that differ by less than this count as equal. */
  private static final double PRICE_TOLERANCE = 1e-9;

  /** A candidate, with the number of machines that the plan requests in its group. */
  static final class Selection {
    private final ScaleOutPlanner.Candidate candidate;
    private int requested;

    Selection(ScaleOutPlanner.Candidate candidate) {
      this.candidate = candidate;
    }

    MachineGroup group() {
      return candidate.group();
    }

    /** Returns how many more machines may be requested in the group. */
    int remaining() {
      return candidate.maxMachines() - requested;
    }

    void request(int machines) {
      requested += machines;
    }
  }

  private final Catalogue catalogue;
  private final List<Selection> selections = new ArrayList<>();

  CandidateList(Catalogue catalogue) {
    this.catalogue = catalogue;
  }

  void add(ScaleOutPlanner.Candidate candidate) {
    selections.add(new Selection(candidate));
  }

  /** Returns the requests of the plan, in the order of the candidates. */
  List<ScaleOutPlanner.Request> requests() {
    List<ScaleOutPlanner.Request> requests = new ArrayList<>();
    for (Selection selection : selections) {
      if (selection.requested > 0) {
        requests.add(new ScaleOutPlanner.Request(selection.group(), selection.requested));
      }
    }
    return requests;
  }

  /**
   * Returns the candidate with the lowest price per task that would run there. Among candidates of
   * equal price it is the one whose zone has the fewest machines of the type. Otherwise all
   * machines would go to the first zone and be lost with it, as GEP-24's formula allows every zone
   * the same number of additional machines up to the pool's maximum.
   *
   * @param tasks how many tasks of the job need machines
   * @param includeLateBooting whether groups whose machines currently come up late are included
   */
  Optional<Selection> cheapest(Job job, int tasks, boolean includeLateBooting) {
    Optional<Selection> best = Optional.empty();
    double bestPrice = Double.MAX_VALUE;
    for (Selection selection : selections) {
      if (!isEligible(selection, job, includeLateBooting)) {
        continue;
      }
      double price = pricePerTask(selection.group(), job, tasks);
      if (price < bestPrice - PRICE_TOLERANCE
          || best.isPresent()
              && price < bestPrice + PRICE_TOLERANCE
              && machinesInZone(selection) < machinesInZone(best.get())) {
        best = Optional.of(selection);
        bestPrice = price;
      }
    }
    return best;
  }

  private static boolean isEligible(Selection selection, Job job, boolean includeLateBooting) {
    return selection.remaining() > 0
        && (includeLateBooting || !selection.candidate.bootsLate())
        && Placer.allows(job, selection.group());
  }

  private double pricePerTask(MachineGroup group, Job job, int tasks) {
    int fitting = catalogue.type(group.type()).size().capacityFor(job.perTask());
    return catalogue.type(group.type()).price(group.spot()) / Math.min(fitting, tasks);
  }

  /**
   * Returns the number of machines of the selection's type in its zone, spot and on-demand,
   * including those that this plan requests.
   */
  private int machinesInZone(Selection selection) {
    MachineGroup group = selection.group();
    int machines = selection.candidate.machinesInZone();
    for (Selection other : selections) {
      if (other.group().type() == group.type() && other.group().zone() == group.zone()) {
        machines += other.requested;
      }
    }
    return machines;
  }

  /**
   * True when capacity for a task costs more than {@link ScaleOutPlanner#EXPENSIVE_PRICE_RATIO}
   * times as much in the group as in the cheapest type that the job may use.
   */
  boolean isExpensive(Job job, MachineGroup group) {
    double lowestPrice = Double.MAX_VALUE;
    for (int type = 0; type < catalogue.types().size(); type++) {
      if (job.compatibleTypes().get(type)) {
        lowestPrice = Math.min(lowestPrice, pricePerTaskWhenFull(job, type, job.spec().spot()));
      }
    }
    return pricePerTaskWhenFull(job, group.type(), group.spot())
        > lowestPrice * ScaleOutPlanner.EXPENSIVE_PRICE_RATIO;
  }

  /** Returns the price per task on a machine that is filled with tasks of the job. */
  private double pricePerTaskWhenFull(Job job, int type, boolean spot) {
    int fitting = Math.max(1, catalogue.type(type).size().capacityFor(job.perTask()));
    return catalogue.type(type).price(spot) / fitting;
  }
}
