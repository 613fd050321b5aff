package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.Resources;

/**
 * What to rent for tasks that fit nowhere. Machines that boot, and rentals in flight, are room for
 * them first; and as many cores as drain the work in time are enough, since tasks end and make
 * room.
 */
public final class ScaleOutPlanner {
  /**
   * A group that may grow now.
   *
   * @param maxMachines how many machines may be requested
   * @param held machines of the type, of both kinds, that exist or are requested in the zone
   * @param bootsLate its machines come up late or never at present
   */
  public record Candidate(MachineGroup group, int maxMachines, int held, boolean bootsLate) {
    int type() {
      return group.type();
    }

    int zone() {
      return group.zone();
    }

    boolean spot() {
      return group.spot();
    }
  }

  /** So many machines of the group are to be requested. */
  public record Request(MachineGroup group, int count) {}

  private static final class Virtual {
    private final MachineGroup what;
    private Resources free;

    Virtual(MachineGroup what, Resources free) {
      this.what = what;
      this.free = free;
    }
  }

  /**
   * Cores that may still be rented for jobs that can use the same groups of machines, in
   * thousandths; at any price, and at a high one. Where only some types fit a task, the cores of
   * all others are of no help to it, however many they are.
   */
  private static final class Balance {
    private double allowed;
    private double dearAllowed;
  }

  private static final class OpenCandidate {
    private final Candidate offer;
    private int taken;

    OpenCandidate(Candidate offer) {
      this.offer = offer;
    }

    int room() {
      return offer.maxMachines() - taken;
    }
  }

  private final Catalogue catalogue;
  private final TeamUsage teams;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives aims;
  private final double drainS;
  private final List<Virtual> coming = new ArrayList<>();
  private final List<OpenCandidate> offers = new ArrayList<>();
  private final Map<BitSet, Balance> balances = new LinkedHashMap<>();
  private final BitSet everywhere = new BitSet();
  private double have;
  private double rentedCores;

  /** A machine whose core costs this much more than the cheapest that there is counts as dear. */
  public static final double EXPENSIVE_PRICE_RATIO = 1.5;

  /** Work comes in lumps: for what keeps so many cores busy on average, this much more is held. */
  private static final double RATE_ROOM = 1.3;

  private static final double RATE_ROOM_DEAR = 1.15;

  /** Part of the time that is left in which dear machines are to finish the work. */
  private static final double DEAR_WINDOW = 0.85;

  public ScaleOutPlanner(
      Catalogue catalogue,
      TeamUsage teams,
      RuntimeEstimates estimates,
      ServiceLevelObjectives aims,
      double drainS) {
    this.catalogue = catalogue;
    this.teams = teams;
    this.estimates = estimates;
    this.aims = aims;
    this.drainS = drainS;
  }

  /**
   * @param waiting jobs with waiting tasks, the most pressing first
   * @param machines machines that are up and take tasks
   * @param expected a job like the next pressing one, which room is kept for
   * @param coresForRate what work that goes on to come as it does keeps busy, in thousandths
   */
  public List<Request> plan(
      List<Job> waiting,
      Collection<Job> all,
      List<Machine> machines,
      List<MachineGroup> comingNow,
      List<Candidate> offersNow,
      Optional<Job> expected,
      double coresForRate,
      long nowMs,
      long wallMs) {
    for (MachineGroup c : comingNow) {
      coming.add(new Virtual(c, catalogue.type(c.type()).size()));
    }
    offersNow.forEach(o -> offers.add(new OpenCandidate(o)));
    for (Machine m : machines) {
      have += m.size().cores();
    }
    for (Virtual v : coming) {
      have += v.free.cores();
    }
    everywhere.set(0, catalogue.types().size() * catalogue.zoneCount() * 2);
    balance(all, machines, coresForRate, nowMs, wallMs);
    for (Job job : waiting) {
      serve(job, machines, Placer.isStarving(job, wallMs), nowMs);
    }
    keepRate(all, coresForRate * RATE_ROOM_DEAR - haveNow());
    expected.ifPresent(job -> keepRoom(job, machines));
    List<Request> wanted = new ArrayList<>();
    for (OpenCandidate o : offers) {
      if (o.taken > 0) {
        wanted.add(new Request(o.offer.group(), o.taken));
      }
    }
    return wanted;
  }

  private int group(int type, int zone, boolean spot) {
    return (type * catalogue.zoneCount() + zone) * 2 + (spot ? 1 : 0);
  }

  /** The groups of machines that the job's tasks may run on and fit. */
  private BitSet groups(Job job) {
    BitSet groups = new BitSet();
    for (int t = job.types().nextSetBit(0); t >= 0; t = job.types().nextSetBit(t + 1)) {
      for (int z = 0; z < catalogue.zoneCount(); z++) {
        if (job.zone() < 0 || job.zone() == z) {
          groups.set(group(t, z, false));
          groups.set(group(t, z, true), job.spec().spot());
        }
      }
    }
    return groups;
  }

  /**
   * For each set of groups that some job can use: what the jobs need that can use no others, less
   * what there is of these machines and not taken by jobs that could run elsewhere.
   */
  private void balance(
      Collection<Job> all, List<Machine> machines, double coresForRate, long nowMs, long wallMs) {
    Map<Job, BitSet> usable = new HashMap<>();
    Map<Job, double[]> needs = new HashMap<>();
    Set<Job> guaranteed = guaranteed(all, nowMs);
    balances.put(everywhere, new Balance());
    for (Job job : all) {
      BitSet groups = groups(job);
      usable.put(job, groups);
      if (!job.isTerminal() && !job.quarantined()) {
        balances.computeIfAbsent(groups, g -> new Balance());
        boolean covered = guaranteed.contains(job);
        needs.put(
            job,
            new double[] {
              coresNeeded(job, covered, nowMs, wallMs, false),
              coresNeeded(job, covered, nowMs, wallMs, true)
            });
      }
    }
    balances.forEach(
        (groups, balance) -> {
          double need = 0;
          double dearNeed = 0;
          for (Map.Entry<Job, double[]> e : needs.entrySet()) {
            if (within(usable.get(e.getKey()), groups)) {
              need += e.getValue()[0];
              dearNeed += e.getValue()[1];
            }
          }
          if (groups.equals(everywhere)) {
            need = Math.max(need, coresForRate * RATE_ROOM);
            dearNeed = Math.max(dearNeed, coresForRate * RATE_ROOM_DEAR);
          }
          double there = coresFor(groups, machines, usable);
          balance.allowed = need - there;
          balance.dearAllowed = dearNeed - there;
        });
  }

  private static boolean within(BitSet part, BitSet whole) {
    BitSet rest = (BitSet) part.clone();
    rest.andNot(whole);
    return rest.isEmpty();
  }

  private double coresFor(BitSet groups, List<Machine> machines, Map<Job, BitSet> usable) {
    double cores = 0;
    for (Machine m : machines) {
      if (groups.get(group(m.type(), m.zone(), m.spot()))) {
        cores += m.size().cores();
        if (!groups.equals(everywhere)) {
          for (Placement p : m.placements()) {
            BitSet others = usable.get(p.job());
            cores -= others != null && within(others, groups) ? 0 : p.job().perTask().cores();
          }
        }
      }
    }
    for (Virtual v : coming) {
      if (groups.get(group(v.what.type(), v.what.zone(), v.what.spot()))) {
        cores += catalogue.type(v.what.type()).size().cores();
      }
    }
    return cores;
  }

  /**
   * Can the machine go, as more would be there without it than is needed even at a high price? If
   * so, it is counted as gone.
   */
  public boolean isExpensiveSurplus(Machine m) {
    int group = group(m.type(), m.zone(), m.spot());
    for (Map.Entry<BitSet, Balance> e : balances.entrySet()) {
      if (e.getKey().get(group) && -e.getValue().dearAllowed < m.size().cores()) {
        return false;
      }
    }
    count(group, -m.size().cores());
    return true;
  }

  /** So many cores come to a group, or go from it. */
  private void count(int group, double cores) {
    balances.forEach(
        (groups, balance) -> {
          if (groups.get(group)) {
            balance.allowed -= cores;
            balance.dearAllowed -= cores;
          }
        });
  }

  /**
   * Cores that finish the job's work within its window, in thousandths.
   *
   * @param dear what is needed even at a price several times as high
   */
  private double coresNeeded(Job job, boolean covered, long nowMs, long wallMs, boolean dear) {
    double each = job.perTask().cores();
    int open =
        Math.min(job.schedulableTasks(nowMs), teams.tasksWithinLimit(job.team(), job.perTask()));
    if (job.spec().kind() != JobKind.BATCH) {
      return each * (open + job.activePlacements().size());
    }
    double runS = Math.max(1, estimates.runS(job));
    double leftS = open * runS;
    for (Placement p : job.activePlacements()) {
      double ranS = p.runningSinceMs() < 0 ? 0 : (nowMs - p.runningSinceMs()) / 1000.0;
      leftS += Math.max(runS * 0.1, runS - ranS);
    }
    double horizon = Math.max(runS, horizonS(job, covered, wallMs, dear));
    return each * Math.min(open + job.activePlacements().size(), leftS / horizon);
  }

  /**
   * In how many seconds a job's work should be through. What its team's guarantee covers, and what
   * has no due time, is served as fast as can be; other work may take half of the time it has left,
   * and the other half is for estimates that are wrong. Dear machines are rented for what would
   * come too late without them: work that can wait waits for cheap ones.
   */
  private double horizonS(Job job, boolean guaranteed, long wallMs, boolean dear) {
    if (guaranteed || job.deadlineS().isEmpty()) {
      return drainS;
    }
    double waitedS = (wallMs - job.eligibleSinceWallMs()) / 1000.0;
    double leftS = job.deadlineS().getAsDouble() - waitedS;
    double horizonS = leftS < drainS ? leftS : Math.max(drainS, leftS * (dear ? DEAR_WINDOW : 0.5));
    OptionalDouble lastStartS = aims.lastStartS(job);
    double startLeftS = lastStartS.orElse(0) - waitedS;
    if (startLeftS > 0 && !job.pendingTasks().isEmpty()) {
      // The last ones start when all others have run: that is one run before the work is through.
      double startedS = startLeftS * (dear ? DEAR_WINDOW : 0.7) + estimates.runS(job);
      horizonS = Math.min(horizonS, Math.max(drainS, startedS));
    }
    return horizonS;
  }

  /** Jobs that fit into their team's guarantee together with the team's earlier unfinished ones. */
  private Set<Job> guaranteed(Collection<Job> all, long nowMs) {
    Set<Job> covered = new HashSet<>();
    Map<Integer, Resources> asked = new HashMap<>();
    all.stream()
        .filter(j -> !j.isTerminal() && !j.blockedOnDependencies())
        .sorted(Comparator.comparingLong(Job::eligibleSinceWallMs).thenComparing(Job::uid))
        .forEach(
            j -> {
              // What fails everywhere must not use up what its team is guaranteed.
              long tasks =
                  j.isKnownToRun(nowMs)
                      ? j.spec().tasks() - j.completedTasks().cardinality()
                      : Math.max(1, j.activePlacements().size());
              Resources r =
                  new Resources(j.perTask().cores() * tasks, j.perTask().accelerators() * tasks, 0);
              Resources sum = asked.merge(j.team(), r, Resources::plus);
              if (teams.guarantees(j.team(), sum)) {
                covered.add(j);
              }
            });
    return covered;
  }

  /**
   * @param starves the cores that there are do not help this job, or it would have begun: what it
   *     may run on is taken by others for long. It gets a machine whatever the sum says, if not a
   *     dear one.
   */
  private void serve(Job job, List<Machine> machines, boolean starves, long nowMs) {
    int need =
        Math.min(job.schedulableTasks(nowMs), teams.tasksWithinLimit(job.team(), job.perTask()));
    for (Virtual v : coming) {
      if (need <= 0) {
        return;
      }
      if (allowed(job, v.what.type(), v.what.zone(), v.what.spot())) {
        need -= fill(v, job, need);
      }
    }
    boolean anywhere =
        machines.stream().anyMatch(m -> Placer.allows(job, m))
            || coming.stream()
                .anyMatch(v -> allowed(job, v.what.type(), v.what.zone(), v.what.spot()));
    int atAnyRate = starves && need > 0 ? 1 : 0;
    Balance balance = balances.get(groups(job));
    if (balance == null) {
      return;
    }
    while (need > 0 && (balance.allowed > 0 || !anywhere || atAnyRate > 0)) {
      Optional<OpenCandidate> offer = cheapest(job, need, false);
      boolean tooDear = anywhere && balance.dearAllowed <= 0;
      if (offer.isEmpty() || tooDear && isDear(job, offer.get().offer)) {
        // Where machines come late, some come all the same.
        offer = cheapest(job, need, true);
      }
      if (offer.isEmpty() || tooDear && isDear(job, offer.get().offer)) {
        return;
      }
      OpenCandidate o = offer.get();
      o.taken++;
      atAnyRate--;
      Resources size = catalogue.type(o.offer.type()).size();
      rentedCores += size.cores();
      count(group(o.offer.type(), o.offer.zone(), o.offer.spot()), size.cores());
      Virtual fresh =
          new Virtual(new MachineGroup(o.offer.type(), o.offer.zone(), o.offer.spot()), size);
      coming.add(fresh);
      need -= fill(fresh, job, need);
      anywhere = true;
    }
  }

  private double haveNow() {
    return have + rentedCores;
  }

  /**
   * Machines were lost, or work comes faster: what is missing is rented before the work that will
   * miss it waits. Shaped after the youngest job whose work counts for the rate.
   */
  private void keepRate(Collection<Job> all, double missing) {
    Optional<Job> like =
        all.stream()
            .filter(j -> !j.isTerminal() && j.spec().kind() == JobKind.BATCH)
            .filter(j -> j.deadlineS().orElse(Double.MAX_VALUE) <= ArrivalForecast.SHORT_WINDOW_S)
            .max(Comparator.comparingLong(Job::eligibleSinceWallMs).thenComparing(Job::uid));
    double left = missing;
    while (like.isPresent() && left > 0) {
      Optional<OpenCandidate> offer = cheapest(like.get(), Integer.MAX_VALUE, true);
      if (offer.isEmpty()) {
        return;
      }
      double each = catalogue.type(offer.get().offer.type()).size().cores();
      offer.get().taken++;
      left -= each;
      rentedCores += each;
    }
  }

  /** Does a core of it cost far more than of the cheapest kind that the job may use? */
  private boolean isDear(Job job, Candidate offer) {
    double least = Double.MAX_VALUE;
    for (int t = 0; t < catalogue.types().size(); t++) {
      if (job.types().get(t)) {
        least = Math.min(least, pricePerTask(job, t, job.spec().spot()));
      }
    }
    return pricePerTask(job, offer.type(), offer.spot()) > least * EXPENSIVE_PRICE_RATIO;
  }

  private double pricePerTask(Job job, int type, boolean spot) {
    int slots = Math.max(1, catalogue.type(type).size().times(job.perTask()));
    return catalogue.type(type).price(spot) / slots;
  }

  /** A pressing job can't wait for a machine to boot: it needs room that is there when it comes. */
  private void keepRoom(Job job, List<Machine> machines) {
    int need = job.spec().tasks();
    for (Machine m : machines) {
      if (Placer.allows(job, m)) {
        need -= m.free().times(job.perTask());
      }
    }
    for (Virtual v : coming) {
      if (need > 0 && allowed(job, v.what.type(), v.what.zone(), v.what.spot())) {
        need -= fill(v, job, need);
      }
    }
    Optional<OpenCandidate> offer = need > 0 ? cheapest(job, need, true) : Optional.empty();
    if (offer.isPresent()) {
      OpenCandidate o = offer.get();
      int slots = catalogue.type(o.offer.type()).size().times(job.perTask());
      o.taken += Math.min(o.room(), (need + slots - 1) / slots);
    }
  }

  /** Also what is asked for in this plan, of either kind. */
  private int held(OpenCandidate of) {
    int held = of.offer.held();
    for (OpenCandidate o : offers) {
      if (o.offer.type() == of.offer.type() && o.offer.zone() == of.offer.zone()) {
        held += o.taken;
      }
    }
    return held;
  }

  private static int fill(Virtual v, Job job, int need) {
    int n = Math.min(need, v.free.times(job.perTask()));
    for (int i = 0; i < n; i++) {
      v.free = v.free.minus(job.perTask());
    }
    return n;
  }

  private static boolean allowed(Job job, int type, int zone, boolean spot) {
    return job.types().get(type) && (job.spec().spot() || !spot) && job.zoneAllowed(zone);
  }

  /**
   * Least price for each task that would run there; among equals the zone that holds the fewest of
   * the type. By the source's formula all zones of a type have the same room below the pool's
   * maximum, so that its machines would pile up in the first one, and go with it.
   *
   * @param alsoLate also of groups whose machines come late at present
   */
  private Optional<OpenCandidate> cheapest(Job job, int need, boolean alsoLate) {
    OpenCandidate best = null;
    double bestCost = Double.MAX_VALUE;
    for (OpenCandidate o : offers) {
      if (o.room() <= 0
          || o.offer.bootsLate() && !alsoLate
          || !allowed(job, o.offer.type(), o.offer.zone(), o.offer.spot())) {
        continue;
      }
      int slots = catalogue.type(o.offer.type()).size().times(job.perTask());
      double cost = catalogue.type(o.offer.type()).price(o.offer.spot()) / Math.min(slots, need);
      if (cost < bestCost - 1e-9
          || best != null && cost < bestCost + 1e-9 && held(o) < held(best)) {
        best = o;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }
}
