package org.ploverspindle.leadership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;

/**
 * Do the machines reach this leader, and do its answers reach them? A lead that is kept by its
 * lease alone would cost every lease. Nothing is concluded here about any one machine.
 */
final class LeaderConnectivity {
  /** So many machines do not all fall silent at once by chance; fewer are given more time. */
  private static final int MANY_MACHINES = 20;

  private static final int SOME_MACHINES = 4;
  private static final long SILENCE_MARGIN_MS = 2_000;

  /** A look that comes so late after the one before: meanwhile it was we who did not listen. */
  private static final long PAUSE_MS = 1_200;

  /** Reports that were held up on the way come within this time. */
  private static final long LATEST_REPORT_MS = 60_000;

  /** Late reports of machines that are gone, for each of them, while strays are remembered. */
  private static final double LATE_SHARE = 0.25;

  /** How many machines had been removed in the term by then. */
  private record Removals(long atMs, long total) {}

  /** Reports that came to another controller in a second. */
  private record Strays(long atMs, int reports) {}

  private final MachineRegistry fleet;
  private final Term term;
  private final BooleanSupplier listRead;
  private final boolean alone;
  private final long withinMs;
  private final long hushMs;
  private final long unheardMs;
  private final Deque<Strays> misdirected = new ArrayDeque<>();
  private final Deque<Removals> removals = new ArrayDeque<>();
  private long lastHeardMs;
  private long lastLookMs;
  private long listeningSinceMs;
  private int mostHeard;

  /**
   * @param listRead whether the cloud's list was read in this term
   * @param patientMs how long a leader that never heard most of its machines waits before it stands
   *     back, where several before it found the same: they would go round for good, none staying
   *     long enough to prove by silence that the machines are gone. 0 where none did.
   */
  LeaderConnectivity(
      MachineRegistry fleet,
      Term term,
      Settings settings,
      BooleanSupplier listRead,
      long patientMs) {
    this.fleet = fleet;
    this.term = term;
    this.listRead = listRead;
    this.alone = settings.nodes() < 2;
    this.withinMs = Math.round(settings.workers().reportS() * 1_250) + SILENCE_MARGIN_MS;
    this.hushMs = Math.round(settings.workers().reportS() * 650);
    this.unheardMs = Math.max(2 * withinMs, patientMs);
    this.lastHeardMs = term.startMs();
    this.lastLookMs = term.startMs();
    this.listeningSinceMs = term.startMs();
  }

  void recordHeartbeat(long nowMs) {
    lastHeardMs = nowMs;
  }

  /** So many reports of machines that had our answers before came to another controller. */
  void misdirectedHeartbeats(long nowMs, int reports) {
    misdirected.addLast(new Strays(nowMs, reports));
  }

  /** Since when this leader has listened without a pause. */
  long listeningSinceMs() {
    return listeningSinceMs;
  }

  /**
   * Called again and again; says why another controller would lead better, if so.
   *
   * <p>A process that stood still finds reports that it has not read, and machines that gave it up
   * meanwhile: what it missed says nothing about them or about its lines, so it listens anew first.
   */
  Optional<String> reasonToStepDown(long nowMs) {
    if (nowMs - lastLookMs > PAUSE_MS) {
      listeningSinceMs = nowMs;
      misdirected.clear();
    }
    lastLookMs = nowMs;
    misdirected.removeIf(s -> nowMs - s.atMs() > withinMs);
    removals.addLast(new Removals(nowMs, fleet.removedCount()));
    while (nowMs - removals.getFirst().atMs() > LATEST_REPORT_MS) {
      removals.removeFirst();
    }
    if (alone || nowMs - listeningSinceMs < withinMs) {
      return Optional.empty();
    }
    if (isUnanswered(nowMs)) {
      return Optional.of("most machines look for another leader: they get no answers");
    }
    return isUnheard(nowMs)
        ? Optional.of("hardly any machine is heard, the last " + (nowMs - lastHeardMs) + " ms ago")
        : Optional.empty();
  }

  /**
   * Reports come, and their senders ask other controllers as well, although they had answers of
   * ours; or after a good while next to none of them has ever shown our token.
   */
  private boolean isUnanswered(long nowMs) {
    if (nowMs - listeningSinceMs < 2 * withinMs) {
      return false;
    }
    int reports = misdirectedHeartbeats();
    int up = 0;
    int old = 0;
    int hear = 0;
    for (Machine m : fleet.all()) {
      if (m.isUp() && nowMs - m.lastHeartbeatMs() < 2 * withinMs) {
        up++;
        // Those that have just come up have not had the time to show what they heard.
        boolean settled = nowMs - m.upSinceMs() >= 2 * withinMs;
        old += settled ? 1 : 0;
        hear += settled && m.receivesCommands() ? 1 : 0;
      }
    }
    return up >= MANY_MACHINES && reports * 5 > up * 3 || old >= MANY_MACHINES && hear * 5 < old;
  }

  /**
   * Reports that show a machine looking for another leader. Others can't tell these from reports
   * that were held up on the way, also of machines that are gone by now: after a zone of a thousand
   * machines had been cut off and returned, a fleet of 70 was given up for their late reports.
   */
  private int misdirectedHeartbeats() {
    int reports = 0;
    for (Strays s : misdirected) {
      reports += s.reports();
    }
    long removed = fleet.removedCount() - removals.getFirst().total();
    return Math.max(0, reports - (int) (removed * LATE_SHARE));
  }

  /**
   * Nearly all machines are silent at once: it is this controller that they do not reach, and
   * another one may be reached by them. Where most were silent from the start, another leader would
   * hear no more. Where many of them ask others meanwhile, a moment's silence is enough: who is
   * sent back here by those waits for four seconds each time, and its lease does not.
   */
  private boolean isUnheard(long nowMs) {
    int expected = 0;
    int heard = 0;
    for (Machine m : fleet.all()) {
      heard += m.isUp() && nowMs - m.lastHeartbeatMs() < withinMs ? 1 : 0;
      expected += m.isUp() || !m.placements().isEmpty() && mayExist(m) ? 1 : 0;
    }
    mostHeard = Math.max(mostHeard, heard);
    if (expected < MANY_MACHINES) {
      long enoughMs = mostHeard * 2 <= expected ? unheardMs : 2 * withinMs;
      return expected >= SOME_MACHINES && nowMs - lastHeardMs >= enoughMs;
    }
    if (nowMs - lastHeardMs >= hushMs && misdirectedHeartbeats() * 3 > expected) {
      return true;
    }
    if (mostHeard * 2 <= expected) {
      // From the start; an earlier leader that is cut off from us may still have the machines.
      return nowMs - lastHeardMs >= unheardMs;
    }
    return heard * 5 < expected;
  }

  /**
   * Machines that only records of earlier leaders speak of, and that the list does not show, are
   * most likely gone: no other leader would hear them. Were they waited for, each leader in turn
   * would stand back before it had listened for long enough to call their tasks gone.
   */
  private boolean mayExist(Machine m) {
    return m.isListed() || !listRead.getAsBoolean();
  }
}
