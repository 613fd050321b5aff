package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.Catalogue;

/** The groups that may grow, with what a plan has requested of each so far. */
final class CandidateList {
  /** Smaller differences in price count as none. */
  private static final double PRICE_TOLERANCE = 1e-9;

  /** A candidate and how many of its machines the plan requests. */
  static final class Selection {
    private final ScaleOutPlanner.Candidate candidate;
    private int requested;

    Selection(ScaleOutPlanner.Candidate candidate) {
      this.candidate = candidate;
    }

    MachineGroup group() {
      return candidate.group();
    }

    /** How many more machines may be requested. */
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

  /** What is requested, in the order of the candidates. */
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
   * The candidate with the least price for each task that would run there. Among equals it is the
   * zone that holds the fewest machines of the type: by GEP-24's formula all zones have the same
   * room below the pool's maximum, so that all machines would go to the first zone, and be lost
   * with it.
   *
   * @param tasks how many tasks of the job need room
   * @param includeLate also groups whose machines come up late at present
   */
  Optional<Selection> cheapest(Job job, int tasks, boolean includeLate) {
    Optional<Selection> best = Optional.empty();
    double bestPrice = Double.MAX_VALUE;
    for (Selection selection : selections) {
      if (!isEligible(selection, job, includeLate)) {
        continue;
      }
      double price = pricePerTask(selection.group(), job, tasks);
      if (price < bestPrice - PRICE_TOLERANCE
          || best.isPresent()
              && price < bestPrice + PRICE_TOLERANCE
              && held(selection) < held(best.get())) {
        best = Optional.of(selection);
        bestPrice = price;
      }
    }
    return best;
  }

  private static boolean isEligible(Selection selection, Job job, boolean includeLate) {
    return selection.remaining() > 0
        && (includeLate || !selection.candidate.bootsLate())
        && Placer.allows(job, selection.group());
  }

  private double pricePerTask(MachineGroup group, Job job, int tasks) {
    int fitting = catalogue.type(group.type()).size().capacityFor(job.perTask());
    return catalogue.type(group.type()).price(group.spot()) / Math.min(fitting, tasks);
  }

  /** Machines of the type, of both kinds, in the selection's zone, those of this plan included. */
  private int held(Selection selection) {
    MachineGroup group = selection.group();
    int held = selection.candidate.held();
    for (Selection other : selections) {
      if (other.group().type() == group.type() && other.group().zone() == group.zone()) {
        held += other.requested;
      }
    }
    return held;
  }

  /** True when room for a task costs far more there than in the cheapest type the job may use. */
  boolean isExpensive(Job job, MachineGroup group) {
    double least = Double.MAX_VALUE;
    for (int type = 0; type < catalogue.types().size(); type++) {
      if (job.types().get(type)) {
        least = Math.min(least, fullPricePerTask(job, type, job.spec().spot()));
      }
    }
    return fullPricePerTask(job, group.type(), group.spot())
        > least * ScaleOutPlanner.EXPENSIVE_PRICE_RATIO;
  }

  /** The price for each task on a machine that is filled with them. */
  private double fullPricePerTask(Job job, int type, boolean spot) {
    int fitting = Math.max(1, catalogue.type(type).size().capacityFor(job.perTask()));
    return catalogue.type(type).price(spot) / fitting;
  }
}
