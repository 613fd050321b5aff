package org.ploverspindle.workers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ploverspindle.jobs.Job;
import org.ploverspindle.jobs.Resources;
import org.ploverspindle.leadership.Term;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes in reports and says what the worker is to do: the only place that lets a launch go out. */
public final class ReportHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ReportHandler.class);

  /** What a report shows, for the other slices. */
  public interface Listener {
    /** The task completed there. */
    void completed(Placement p, long nowMs);

    /** The task ended there without completing, or never arrived; it is gone from its machine. */
    void ended(Placement p, Report.Cause cause, boolean saved, long nowMs);

    /** A task that nobody had placed there has completed: its result counts all the same. */
    void completedUnplaced(Job job, int task);

    /** Its place is as recorded, but what is shown of it has changed. */
    void moved(Placement p);
  }

  /** What is known of a job that is not in the table: whose it is and what a task takes. */
  public record Owner(int team, Resources takes) {}

  private final MachineRegistry fleet;
  private final Term term;
  private final Supplier<Boolean> mayLaunch;
  private final Function<String, Optional<Job>> jobs;
  private final Function<String, Optional<Owner>> owners;
  private final BiPredicate<Job, Integer> durablyDone;
  private final Listener listener;

  public ReportHandler(
      MachineRegistry fleet,
      Term term,
      Supplier<Boolean> mayLaunch,
      Function<String, Optional<Job>> jobs,
      Function<String, Optional<Owner>> owners,
      BiPredicate<Job, Integer> durablyDone,
      Listener listener) {
    this.fleet = fleet;
    this.term = term;
    this.mayLaunch = mayLaunch;
    this.jobs = jobs;
    this.owners = owners;
    this.durablyDone = durablyDone;
    this.listener = listener;
  }

  /** What goes out in answer to a report. */
  public record Reply(long token, List<Order> orders) {}

  /** Orders that may go straight to their machine now, and what they are sent with. */
  public record Direct(String address, long token, long tenure, List<Order> orders) {}

  /** An answer with no orders, which renews the lease. */
  public Reply none(String host) {
    return new Reply(fleet.get(host).map(Machine::fence).orElse(term.token()), List.of());
  }

  private Reply reply(Report report, List<Order> orders) {
    return new Reply(none(report.host()).token(), orders);
  }

  /** Orders for the worker, or none at all when the report tells nothing that can be relied on. */
  public Reply take(Report report, long nowMs) {
    return reply(report, read(report, nowMs, false));
  }

  /**
   * What a machine answered to launches that went straight to it. It shows what is there, and can't
   * be answered: what it calls for is ordered with the next report.
   */
  public void takeDirect(Report report, long nowMs) {
    read(report, nowMs, true);
  }

  private List<Order> read(Report report, long nowMs, boolean direct) {
    if (fleet.wasReleased(report.host()) || fleet.isOld(report)) {
      return List.of();
    }
    Optional<Machine> found =
        fleet.adopt(report.host(), report.type(), report.zone(), report.spot(), nowMs);
    if (found.isEmpty()) {
      LOG.warn("machine {} of unknown type {} reports", report.host(), report.type());
      return List.of();
    }
    Machine m = found.get();
    // A report that was held up on the way is older than what we know: its list of tasks would
    // call running ones gone. It is answered, as silence could cost the lease, and not believed.
    if (m.up() && !report.newerThan(m.tenure(), m.tally())) {
      return List.of();
    }
    boolean newSession = report.tenure() > m.tenure();
    boolean ours = term.owns(report.warrant());
    if (newSession && m.up()) {
      // Its lease ran out although it reports: our answers may not reach it.
      m.suspectDeaf(fleet.nextFence(), nowMs);
    }
    m.heard(report, nowMs, ours);
    if (newSession) {
      endOlderSessions(m, nowMs);
    }
    return new Reading(m, report, ours, direct, nowMs).orders();
  }

  /**
   * Launches on the machine that are recorded and were in no answer yet, to go straight to it. A
   * launch that goes this way may be executed late, so from here on the attempt counts as possibly
   * there until a report shows otherwise under a higher token, or the session ends.
   */
  public Optional<Direct> direct(Machine m, long nowMs) {
    if (!m.hears() || m.address().isEmpty() || !mayLaunch.get() || !fleet.fencesLeft()) {
      return Optional.empty();
    }
    List<Order> orders = new ArrayList<>();
    int bytes = 40;
    for (Placement p : m.placements()) {
      Order launch = new Order.Launch(p.job().uid(), p.task(), p.attempt());
      if (p.phase() == Placement.Phase.READY
          && p.tenure() == m.tenure()
          && !p.job().over()
          && !p.stopping()
          && bytes + ReportCodec.size(launch) <= ReportCodec.MAX_ORDER_BYTES) {
        bytes += ReportCodec.size(launch);
        orders.add(launch);
        p.sentDirectly(m.fence(), nowMs);
        m.sentDirectly(p.attempt());
      }
    }
    return orders.isEmpty()
        ? Optional.empty()
        : Optional.of(new Direct(m.address(), m.fence(), m.tenure(), orders));
  }

  /**
   * Stops of cancelled jobs' tasks, to go straight to their machine: until its next report they
   * would run on, or even begin, for nobody. Executed late or twice they do no harm, whoever leads
   * by then, as a cancellation is never taken back; that a launch still in flight comes after them
   * is seen in the next report.
   */
  public Optional<Direct> directStops(Machine m) {
    if (!m.hears() || m.address().isEmpty() || !mayLaunch.get()) {
      return Optional.empty();
    }
    List<Order> orders = new ArrayList<>();
    int bytes = 40;
    for (Placement p : m.placements()) {
      Order stop = new Order.Stop(p.job().uid(), p.task(), p.attempt(), 0);
      if (p.job().cancelled()
          && !p.neverSent()
          && p.tenure() == m.tenure()
          && bytes + ReportCodec.size(stop) <= ReportCodec.MAX_ORDER_BYTES) {
        bytes += ReportCodec.size(stop);
        orders.add(stop);
      }
    }
    return orders.isEmpty()
        ? Optional.empty()
        : Optional.of(new Direct(m.address(), m.fence(), m.tenure(), orders));
  }

  /**
   * What can be ordered by now in answer to a report that was taken before: what has become durable
   * since. Nothing when a newer report came, as its answer is the one that counts.
   */
  public Reply later(Report report, long nowMs) {
    Optional<Machine> m = fleet.get(report.host());
    if (m.isEmpty() || m.get().tenure() != report.tenure() || m.get().tally() != report.tally()) {
      return none(report.host());
    }
    return reply(
        report, new Reading(m.get(), report, term.owns(report.warrant()), false, nowMs).later());
  }

  /** A new session began with nothing on the machine: what was placed in older ones is gone. */
  private void endOlderSessions(Machine m, long nowMs) {
    for (Placement p : List.copyOf(m.placements())) {
      if (p.tenure() < m.tenure()) {
        fleet.gone(p, nowMs);
        listener.ended(p, Report.Cause.NONE, false, nowMs);
      }
    }
    m.forgetImages();
  }

  private final class Reading {
    private final Machine machine;
    private final Report report;
    private final boolean ours;
    private final boolean direct;
    private final long nowMs;
    private final List<Order> orders = new ArrayList<>();
    private int bytes = 40;

    Reading(Machine machine, Report report, boolean ours, boolean direct, long nowMs) {
      this.machine = machine;
      this.report = report;
      this.ours = ours;
      this.direct = direct;
      this.nowMs = nowMs;
    }

    private void order(Order o) {
      if (bytes + ReportCodec.size(o) <= ReportCodec.MAX_ORDER_BYTES) {
        bytes += ReportCodec.size(o);
        orders.add(o);
        if (o instanceof Order.Forget && machine.directOpen(o.attempt())) {
          // Once forgotten, a late copy of the launch would start it again: the same answer raises
          // the token, under which that copy is void.
          machine.raise(fleet.nextFence());
        }
      }
    }

    List<Order> orders() {
      fleet.clearOrphans(machine);
      Set<Long> shown = new HashSet<>();
      for (Report.Item item : report.items()) {
        Placement p = machine.placement(item.attempt());
        if (p != null && p.job().uid().equals(item.uid()) && p.task() == item.task()) {
          shown.add(item.attempt());
          placed(p, item);
        } else {
          unplaced(item);
        }
      }
      for (Placement p : List.copyOf(machine.placements())) {
        if (!shown.contains(p.attempt())) {
          absent(p);
        }
      }
      if (ours && !direct && mayLaunch.get()) {
        launches();
      }
      return orders;
    }

    List<Order> later() {
      for (Report.Item item : report.items()) {
        if (item.phase() == Report.Phase.EXITED && machine.placement(item.attempt()) == null) {
          unplaced(item);
        }
      }
      for (Placement p : List.copyOf(machine.placements())) {
        if (p.stopping() || p.job().over()) {
          stopLater(p);
        }
      }
      if (ours && mayLaunch.get()) {
        launches();
      }
      return orders;
    }

    /** The stop was decided after the report was taken. */
    private void stopLater(Placement p) {
      boolean shownThere =
          report.items().stream()
              .anyMatch(i -> i.attempt() == p.attempt() && i.phase() != Report.Phase.EXITED);
      if (shownThere && p.phase() != Placement.Phase.SAVING) {
        order(
            new Order.Stop(
                p.job().uid(), p.task(), p.attempt(), p.job().over() ? 0 : p.windDownS()));
      }
    }

    private void placed(Placement p, Report.Item item) {
      switch (item.phase()) {
        case EXITED -> exited(p, item);
        case FETCHING -> shown(p, Placement.Phase.FETCHING);
        case RUNNING -> shown(p, Placement.Phase.RUNNING);
        case SAVING -> shown(p, Placement.Phase.SAVING);
        default -> throw new IllegalStateException("a phase without a meaning");
      }
    }

    private void shown(Placement p, Placement.Phase phase) {
      if (p.phase() != phase) {
        p.phase(phase, nowMs);
        listener.moved(p);
      }
      if (p.job().over()) {
        order(new Order.Stop(p.job().uid(), p.task(), p.attempt(), 0));
      } else if (p.stopping() && (phase != Placement.Phase.SAVING || p.windDownS() == 0)) {
        // A task that saves is told again only to make it end: repeating the order is not needed.
        order(new Order.Stop(p.job().uid(), p.task(), p.attempt(), p.windDownS()));
      }
    }

    private void exited(Placement p, Report.Item item) {
      fleet.gone(p, nowMs);
      if (item.cause() == Report.Cause.DONE) {
        machine.taskCompleted(p.runningSinceMs());
        // Forgotten only once the completion is durable: until then the worker is its only record.
        listener.completed(p, nowMs);
        return;
      }
      if (item.cause() == Report.Cause.ERROR) {
        machine.taskFailed(item.uid(), nowMs);
      }
      order(new Order.Forget(item.uid(), item.task(), item.attempt()));
      listener.ended(p, item.cause(), item.saved(), nowMs);
    }

    private void unplaced(Report.Item item) {
      Optional<Job> job = jobs.apply(item.uid());
      boolean over = job.isEmpty() || job.get().over();
      if (item.phase() == Report.Phase.EXITED) {
        boolean completed = item.cause() == Report.Cause.DONE;
        if (!over && completed && item.task() < job.get().spec().tasks()) {
          if (!job.get().done().get(item.task())) {
            listener.completedUnplaced(job.get(), item.task());
          }
          if (!durablyDone.test(job.get(), item.task())) {
            return;
          }
        }
        order(new Order.Forget(item.uid(), item.task(), item.attempt()));
        return;
      }
      Owner owner =
          job.map(j -> new Owner(j.team(), j.perTask()))
              .or(() -> owners.apply(item.uid()))
              .orElse(new Owner(-1, Resources.NONE));
      fleet.orphan(
          machine,
          new Machine.Orphan(
              item.uid(), item.task(), item.attempt(), owner.team(), owner.takes(), false));
      order(new Order.Stop(item.uid(), item.task(), item.attempt(), 0));
    }

    /**
     * A placement that the report does not show. Proof that it is not there needs a report made
     * after the worker took our token, as an earlier leader's answer may have come after an older
     * one; and, for a launch of ours, made after the answer that held it.
     */
    private void absent(Placement p) {
      if (p.neverSent()) {
        if (p.job().over()) {
          end(p);
        }
        return;
      }
      if (!ours) {
        return;
      }
      if (p.directToken() >= 0 && report.warrant() <= p.directToken()) {
        directAbsent(p);
        return;
      }
      p.directVoid();
      if (p.neverSent()) {
        if (p.job().over() || p.stopping()) {
          end(p);
        }
        return;
      }
      if (p.phase() == Placement.Phase.SENT) {
        // Only a report proves that the answer before it is over: what answers a direct command
        // may have been written in between.
        if (!direct && (report.tally() > p.sentTally() || p.sentTally() == Long.MAX_VALUE)) {
          answerLost(p);
        }
        return;
      }
      end(p);
    }

    /** The launch went straight there, is not shown, and may still arrive. */
    private void directAbsent(Placement p) {
      if (direct) {
        return;
      }
      if (p.job().over() || p.stopping()) {
        if (machine.fence() <= p.directToken()) {
          machine.raise(fleet.nextFence());
        }
      } else if (p.phase() == Placement.Phase.SENT
          && (p.sentTally() == Long.MAX_VALUE || report.tally() > p.sentTally())) {
        // The same launch in an answer does no harm where the direct one arrives as well.
        p.lost();
      }
    }

    /**
     * The answer with the launch was lost, and answers are never executed late: it can be sent
     * again. A machine that loses one after another does not hear us; its tasks go elsewhere.
     */
    private void answerLost(Placement p) {
      if (p.job().over() || p.stopping()) {
        end(p);
        return;
      }
      p.lost();
      if (p.lostAnswers() >= 2) {
        machine.suspectDeaf(fleet.nextFence(), nowMs);
        end(p);
      }
    }

    private void end(Placement p) {
      fleet.gone(p, nowMs);
      listener.ended(p, Report.Cause.NONE, false, nowMs);
    }

    private void launches() {
      for (Placement p : List.copyOf(machine.placements())) {
        if (p.phase() != Placement.Phase.READY) {
          continue;
        }
        if (p.directToken() >= 0 && (p.job().over() || p.stopping())) {
          continue;
        }
        if (p.tenure() != report.tenure() || p.job().over() || p.stopping()) {
          end(p);
          continue;
        }
        Order launch = new Order.Launch(p.job().uid(), p.task(), p.attempt());
        if (bytes + ReportCodec.size(launch) > ReportCodec.MAX_ORDER_BYTES) {
          return;
        }
        order(launch);
        p.sent(report.tally(), nowMs);
      }
    }
  }
}
