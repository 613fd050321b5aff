package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.Priority;

/**
 * Puts waiting tasks on machines that have room: the most pressing job first, machines packed
 * tightly.
 */
public final class Placer {
  /** Told of every placement; its intent must be recorded next. */
  public interface Listener {
    void placed(Placement p);
  }

  /** A job with what it is sorted by, found out once and not in every comparison. */
  private record Ranked(Job job, boolean beyondGuarantee, double slackS) {
    static final Comparator<Ranked> ORDER =
        (a, b) -> {
          int byUrgency = a.job.priority().compareTo(b.job.priority());
          if (byUrgency != 0) {
            return byUrgency;
          }
          int byGuarantee = Boolean.compare(a.beyondGuarantee, b.beyondGuarantee);
          if (byGuarantee != 0) {
            return byGuarantee;
          }
          int bySlack = Double.compare(a.slackS, b.slackS);
          return bySlack != 0 ? bySlack : a.job.uid().compareTo(b.job.uid());
        };
  }

  /** How many cores of room a second of fetching is worth when a machine is chosen. */
  private static final double CORES_PER_FETCH_S = 2;

  /** The same for a job that should start at once: any machine that has its image comes first. */
  private static final double CORES_PER_FETCH_S_PROMPT = 200;

  /**
   * What saves its progress, or is short, loses little with a spot machine that is taken: it leaves
   * the ordinary machines that there are to what would begin anew.
   */
  private static final double WRONG_KIND_CORES = 20;

  private static final double SHORT_S = 20;
  private static final double FAILED_HERE_CORES = 10_000;

  /**
   * Jobs that wait for longer have a share of the cores of their own. Triage serves who can still
   * be in time, and under a lasting overload what stepped back for them, the largest above all,
   * would never begin; nor would a lower urgency below one that never ends.
   */
  static final long PATIENCE_MS = 90_000;

  /** From this age on also those go on by that share of which something has begun. */
  private static final long AGED_MS = 180_000;

  private static final double PATIENCE_SHARE = 0.2;

  /** With this much time left a job does not need a dear machine that is to go back. */
  private static final double MAY_WAIT_S = 45;

  /** One part of so many of its tasks goes first when nothing of a job has begun. */
  private static final int BEGIN_PART = 8;

  private static final long CAPACITY_KEPT_MS = 300;

  /** Part of its estimate by which a task may well be shorter. */
  private static final double DOUBT = 0.4;

  private final Catalogue catalogue;
  private final MachineRegistry fleet;
  private final JobTable jobs;
  private final TeamUsage teams;
  private final RuntimeEstimates estimates;
  private final LongSupplier nextAttempt;
  private final ServiceLevelObjectives aims;
  private final long silenceMs;
  private final Listener listener;
  private final List<Placement> servedForPatience = new ArrayList<>();
  private Optional<Capacity> capacity = Optional.empty();

  /** Of teams with a limit: who has more work than it may use serves first what can be in time. */
  private final Map<Integer, Capacity> teamCapacity = new HashMap<>();

  private long capacityMs;

  /**
   * @param aims what the operators expect of the classes
   */
  public Placer(
      Catalogue catalogue,
      MachineRegistry fleet,
      JobTable jobs,
      TeamUsage teams,
      RuntimeEstimates estimates,
      LongSupplier nextAttempt,
      ServiceLevelObjectives aims,
      long silenceMs,
      Listener listener) {
    this.catalogue = catalogue;
    this.fleet = fleet;
    this.jobs = jobs;
    this.teams = teams;
    this.estimates = estimates;
    this.nextAttempt = nextAttempt;
    this.aims = aims;
    this.silenceMs = silenceMs;
    this.listener = listener;
  }

  /** Jobs with tasks that could start now, in the order in which they are served. */
  public List<Job> pendingJobs(long nowMs, long wallMs) {
    List<Ranked> waiting = new ArrayList<>();
    for (Job job : jobs.all()) {
      if (!job.isTerminal() && !job.quarantined() && job.schedulableTasks(nowMs) > 0) {
        waiting.add(
            new Ranked(
                job,
                !teams.withinGuarantee(job.team(), job.perTask()),
                remainingSlackS(job, wallMs).orElse(Double.MAX_VALUE)));
      }
    }
    waiting.sort(Ranked.ORDER);
    List<Job> byStart = new ArrayList<>(waiting.size());
    waiting.forEach(r -> byStart.add(r.job()));
    return new AdmissionOrder(
            j -> remainingSlackS(j, wallMs), capacity(nowMs), teamCapacity, estimates, nowMs)
        .order(byStart);
  }

  /** Looks at every placement, and placing runs many times a second: kept for a moment. */
  private Capacity capacity(long nowMs) {
    if (capacity.isEmpty() || nowMs - capacityMs > CAPACITY_KEPT_MS) {
      capacity = Optional.of(new Capacity(fleet, estimates, nowMs, 60_000));
      capacityMs = nowMs;
      teamCapacity.clear();
      Map<Integer, List<Job>> byTeam = new HashMap<>();
      jobs.all().forEach(j -> byTeam.computeIfAbsent(j.team(), t -> new ArrayList<>()).add(j));
      for (Map.Entry<Integer, List<Job>> e : byTeam.entrySet()) {
        OptionalLong room = teams.coresWithinLimit(e.getKey());
        if (room.isPresent()) {
          teamCapacity.put(
              e.getKey(), new Capacity(e.getValue(), room.getAsLong(), estimates, nowMs));
        }
      }
    }
    return capacity.get();
  }

  /** Seconds until the job must run to be done when due; those without a due time come last. */
  double slackS(Job job, long wallMs) {
    double waitedS = (wallMs - job.eligibleSinceWallMs()) / 1000.0;
    return job.deadlineS().orElse(1e6) - waitedS - estimates.runS(job);
  }

  /**
   * Slack to the first aim that can still be met: the due time, a multiple of it, or a start or an
   * end within a time that the class's aims name. Empty when none can be. Estimates are wrong by
   * half, so a job that is a little late by its estimate is not given up.
   */
  OptionalDouble remainingSlackS(Job job, long wallMs) {
    double runS = estimates.runS(job);
    double waitedS = (wallMs - job.eligibleSinceWallMs()) / 1000.0;
    OptionalDouble byS = aims.startByS(job, runS, waitedS - DOUBT * runS - 2);
    if (byS.isPresent()) {
      return OptionalDouble.of(byS.getAsDouble() - waitedS);
    }
    return job.deadlineS().isPresent()
        ? OptionalDouble.empty()
        : OptionalDouble.of(slackS(job, wallMs));
  }

  public void run(long nowMs, long wallMs) {
    // Nearly all machines of a busy fleet are full, and most runs find nothing to place: only
    // those with room are looked at for each job.
    List<Machine> withRoom = new ArrayList<>();
    for (Machine m : fleet.all()) {
      if (m.free().cores() > 0 && m.isSchedulable(nowMs, silenceMs)) {
        withRoom.add(m);
      }
    }
    if (withRoom.isEmpty()) {
      return;
    }
    List<Job> waiting = pendingJobs(nowMs, wallMs);
    servePatient(waiting, withRoom, nowMs, wallMs);
    List<Machine> lasting = withRoom.stream().filter(m -> !m.isScaleInCandidate()).toList();
    for (Job job : waiting) {
      place(job, mayWait(job, wallMs) ? lasting : withRoom, nowMs, Integer.MAX_VALUE);
    }
  }

  /** There is time until it must start, and nobody expects it to start at once. */
  private boolean mayWait(Job job, long wallMs) {
    return job.priority().compareTo(Priority.HIGH) > 0
        && !aims.requiresPromptStart(job)
        && job.deadlineS().isPresent()
        && slackS(job, wallMs) > MAY_WAIT_S;
  }

  /**
   * Could a task that waits be put on the machine, were it usable by now? Asked about one machine
   * after the other: the jobs are gone through once.
   */
  public Predicate<Machine> usefulMachines(long nowMs) {
    List<Job> open = new ArrayList<>();
    for (Job job : jobs.all()) {
      if (!job.isTerminal()
          && !job.quarantined()
          && job.schedulableTasks(nowMs) > 0
          && teams.tasksWithinLimit(job.team(), job.perTask()) > 0) {
        open.add(job);
      }
    }
    return m -> open.stream().anyMatch(job -> takes(job, m));
  }

  /**
   * Who has waited long, within a share of the cores: first those of which nothing has begun, the
   * largest first, as triage never takes them; then the oldest.
   */
  private void servePatient(List<Job> waiting, List<Machine> withRoom, long nowMs, long wallMs) {
    List<Job> patient = new ArrayList<>();
    for (Job job : waiting) {
      if (isStarving(job, wallMs) || wallMs - job.eligibleSinceWallMs() > AGED_MS) {
        patient.add(job);
      }
    }
    if (patient.isEmpty()) {
      return;
    }
    servedForPatience.removeIf(p -> p.job().activePlacement(p.task()) != p);
    double share = 0;
    for (Machine m : fleet.all()) {
      share += m.isSchedulable(nowMs, silenceMs) ? m.size().cores() * PATIENCE_SHARE : 0;
    }
    for (Placement p : servedForPatience) {
      share -= p.job().perTask().cores();
    }
    patient.sort(
        Comparator.comparing((Job j) -> !isStarving(j, wallMs))
            .thenComparingDouble(j -> isStarving(j, wallMs) ? -work(j) : j.eligibleSinceWallMs())
            .thenComparing(Job::uid));
    for (Job job : patient) {
      double each = Math.max(1, job.perTask().cores());
      int most = (int) Math.min(Integer.MAX_VALUE, share / each);
      if (servedForPatience.isEmpty()) {
        most = Math.max(1, most);
      }
      if (isStarving(job, wallMs)) {
        most = Math.min(most, 1 + job.spec().tasks() / BEGIN_PART);
      }
      if (most > 0) {
        List<Placement> placed = place(job, withRoom, nowMs, most);
        servedForPatience.addAll(placed);
        share -= placed.size() * each;
      }
    }
  }

  private double work(Job job) {
    return job.spec().tasks() * job.perTask().cores() * estimates.runS(job);
  }

  /** Nothing of it has begun for too long. */
  static boolean isStarving(Job job, long wallMs) {
    return job.activePlacements().isEmpty()
        && job.completedTasks().isEmpty()
        && wallMs - job.eligibleSinceWallMs() > PATIENCE_MS;
  }

  /** Makes room for pressing jobs that found none; says how many tasks are stopped for them. */
  public int preempt(long nowMs, long wallMs) {
    return new Preemption(fleet, teams, estimates, aims, silenceMs)
        .run(pendingJobs(nowMs, wallMs), nowMs);
  }

  private List<Placement> place(Job job, List<Machine> usable, long nowMs, int most) {
    List<Placement> placed = new ArrayList<>();
    int task = nextTask(job, 0, nowMs);
    int open = job.schedulableTasks(nowMs);
    int limit = job.spec().kind() == JobKind.GANG ? open : Math.min(most, open);
    while (task >= 0
        && placed.size() < limit
        && teams.tasksWithinLimit(job.team(), job.perTask()) > 0) {
      Machine best = best(job, usable);
      if (best == null) {
        break;
      }
      // A machine that was best is better still with a task on it: it is filled before another is
      // looked for.
      do {
        Placement p =
            new Placement(
                job,
                task,
                nextAttempt.getAsLong(),
                best,
                best.agentEpoch(),
                Placement.Phase.INTENT);
        fleet.addPlacement(p);
        placed.add(p);
        task = nextTask(job, task + 1, nowMs);
      } while (task >= 0
          && placed.size() < limit
          && teams.tasksWithinLimit(job.team(), job.perTask()) > 0
          && takes(job, best));
    }
    if (job.spec().kind() == JobKind.GANG && !job.pendingTasks().isEmpty()) {
      // Part of a gang would hold its room and wait for the rest. Nothing was recorded or sent yet.
      placed.forEach(p -> fleet.removePlacement(p, nowMs));
      return List.of();
    }
    placed.forEach(listener::placed);
    return placed;
  }

  private static int nextTask(Job job, int from, long nowMs) {
    for (int t = job.pendingTasks().nextSetBit(from);
        t >= 0;
        t = job.pendingTasks().nextSetBit(t + 1)) {
      if (!job.isBackedOff(t, nowMs)) {
        return t;
      }
    }
    return -1;
  }

  /**
   * The machine with the least room, so that large rooms stay whole for large tasks. Fetching the
   * image counts against one that lacks it, by the time that the fetch takes.
   */
  private Machine best(Job job, List<Machine> usable) {
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    boolean exposed = !job.spec().isCheckpointed() && estimates.runS(job) > SHORT_S;
    double perFetchS = aims.requiresPromptStart(job) ? CORES_PER_FETCH_S_PROMPT : CORES_PER_FETCH_S;
    for (Machine m : usable) {
      if (!takes(job, m)) {
        continue;
      }
      double fetchS =
          m.hasImage(job.spec().image())
              ? 0
              : job.spec().imageGb() / Math.max(0.01, catalogue.type(m.type()).fetchGbPerS());
      double score = m.free().cores() / 1000.0 + fetchS * perFetchS;
      if (m.spot() == exposed && !m.isScaleInCandidate()) {
        score += WRONG_KIND_CORES;
      }
      if (job.hasFailedOn(m.host())) {
        // Only another machine can show whose fault it was.
        score += FAILED_HERE_CORES;
      }
      if (score < bestScore) {
        bestScore = score;
        best = m;
      }
    }
    return best;
  }

  private static boolean takes(Job job, Machine m) {
    return job.perTask().fitsIn(m.free())
        && allows(job, m)
        && (!m.suspect() || m.placements().isEmpty());
  }

  /** Type, kind and zone as the job demands, given where its other tasks are. */
  public static boolean allows(Job job, Machine m) {
    return job.types().get(m.type())
        && (job.spec().spot() || !m.spot())
        && job.zoneAllowed(m.zone());
  }
}
