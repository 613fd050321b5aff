package org.ploverspindle.leadership;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;

/**
 * Whether the machines' heartbeats reach this leader, and its responses reach them. A leader that
 * is cut off from its workers but not from the state service would keep its key while every worker
 * lease expires. Nothing is concluded here about any one machine.
 */
final class LeaderConnectivity {
  /** So many machines do not all fall silent at once by chance; fewer are given more time. */
  private static final int MANY_MACHINES = 20;

  private static final int SOME_MACHINES = 4;

  /** The heartbeat window: this much per second of the heartbeat interval, and a margin. */
  private static final int WINDOW_MS_PER_INTERVAL_S = 1_250;

  private static final long WINDOW_MARGIN_MS = 2_000;

  /** The short silence: this much per second of the heartbeat interval. */
  private static final int SHORT_SILENCE_MS_PER_INTERVAL_S = 650;

  /** A check that comes so late after the one before: this process was paused meanwhile. */
  private static final long PROCESS_PAUSE_MS = 1_200;

  /** Of the machines that are up, so many percent may look for another leader. */
  private static final int MAX_MISDIRECTED_PERCENT = 60;

  /** Of the machines that are up for a while, so many percent must show that they get commands. */
  private static final int MIN_RECEIVING_PERCENT = 20;

  /** Of the machines that are expected, so many percent must send heartbeats. */
  private static final int MIN_HEARD_PERCENT = 20;

  /** A short silence is enough where one machine of so many, or more, looks for another leader. */
  private static final int SHORT_SILENCE_MISDIRECTED_PART = 3;

  private static final int PERCENT = 100;

  private final MachineRegistry machines;
  private final BooleanSupplier isMachineListRead;
  private final boolean isOnlyController;
  private final long windowMs;
  private final long shortSilenceMs;
  private final long unheardMs;
  private final MisdirectedHeartbeats misdirected;
  private long lastHeartbeatMs;
  private long lastCheckMs;
  private long listeningSinceMs;
  private int mostHeard;

  /**
   * @param isMachineListRead whether the cloud's list of machines was read in this term
   * @param minUnheardMs how long a leader that never heard most of its machines waits at least
   *     before it resigns. Where several leaders before it found the same, it must be long enough
   *     to prove by silence that the machines are gone: otherwise leadership would go round without
   *     end, none staying for that long. 0 where leadership is stable.
   */
  LeaderConnectivity(
      MachineRegistry machines,
      Term term,
      Settings settings,
      BooleanSupplier isMachineListRead,
      long minUnheardMs) {
    double intervalS = settings.workers().heartbeatIntervalS();
    this.machines = machines;
    this.isMachineListRead = isMachineListRead;
    this.isOnlyController = settings.controllerCount() < 2;
    this.windowMs = Math.round(intervalS * WINDOW_MS_PER_INTERVAL_S) + WINDOW_MARGIN_MS;
    this.shortSilenceMs = Math.round(intervalS * SHORT_SILENCE_MS_PER_INTERVAL_S);
    this.unheardMs = Math.max(2 * windowMs, minUnheardMs);
    this.misdirected = new MisdirectedHeartbeats(machines, windowMs);
    this.lastHeartbeatMs = term.startMs();
    this.lastCheckMs = term.startMs();
    this.listeningSinceMs = term.startMs();
  }

  /** A heartbeat of any machine arrived here. */
  void recordHeartbeat(long nowMs) {
    lastHeartbeatMs = nowMs;
  }

  /** So many heartbeats of machines that had this leader's responses reached another controller. */
  void misdirectedHeartbeats(long nowMs, int heartbeats) {
    misdirected.record(nowMs, heartbeats);
  }

  /** Since when this leader has listened without a pause of its process. */
  long listeningSinceMs() {
    return listeningSinceMs;
  }

  /**
   * Why another controller would lead better, if so. To be called regularly, several times within a
   * second.
   *
   * <p>A process that was paused finds heartbeats that it has not read yet, and machines that
   * turned to other controllers meanwhile. That says nothing about its connections now, so it first
   * listens for a whole window again.
   */
  Optional<String> reasonToStepDown(long nowMs) {
    if (nowMs - lastCheckMs > PROCESS_PAUSE_MS) {
      listeningSinceMs = nowMs;
      misdirected.clear();
    }
    lastCheckMs = nowMs;
    misdirected.update(nowMs);
    if (isOnlyController || nowMs - listeningSinceMs < windowMs) {
      return Optional.empty();
    }
    if (areResponsesLost(nowMs)) {
      return Optional.of("most machines get no responses and look for another leader");
    }
    return areHeartbeatsLost(nowMs)
        ? Optional.of(
            "hardly any heartbeats arrive, the last " + (nowMs - lastHeartbeatMs) + " ms ago")
        : Optional.empty();
  }

  /**
   * Heartbeats arrive, and their senders try other controllers as well although they had responses
   * of this leader; or hardly any of them has ever shown this leader's token.
   */
  private boolean areResponsesLost(long nowMs) {
    if (nowMs - listeningSinceMs < 2 * windowMs) {
      return false;
    }
    int lookingElsewhere = misdirected.count();
    int up = 0;
    int settled = 0;
    int receiving = 0;
    for (Machine machine : machines.all()) {
      if (machine.isUp() && nowMs - machine.lastHeartbeatMs() < 2 * windowMs) {
        up++;
        // A machine that has just come up has not had the time to show what it received.
        boolean isSettled = nowMs - machine.firstHeartbeatMs() >= 2 * windowMs;
        settled += isSettled ? 1 : 0;
        receiving += isSettled && machine.receivesCommands() ? 1 : 0;
      }
    }
    return up >= MANY_MACHINES && lookingElsewhere * PERCENT > up * MAX_MISDIRECTED_PERCENT
        || settled >= MANY_MACHINES && receiving * PERCENT < settled * MIN_RECEIVING_PERCENT;
  }

  /**
   * Nearly all machines are silent at once: the fault is in this controller's connections, and
   * another controller may be reached. Where most machines were silent from the start, another
   * leader would hear no more of them, so there is more time. Where many of them try other
   * controllers meanwhile, a short silence is enough: each redirect back here costs them seconds of
   * their worker lease.
   */
  private boolean areHeartbeatsLost(long nowMs) {
    int expected = 0;
    int heard = 0;
    for (Machine machine : machines.all()) {
      boolean isUp = machine.isUp();
      heard += isUp && nowMs - machine.lastHeartbeatMs() < windowMs ? 1 : 0;
      expected += isUp || !machine.placements().isEmpty() && mayExist(machine) ? 1 : 0;
    }
    mostHeard = Math.max(mostHeard, heard);
    boolean mostNeverHeard = mostHeard * 2 <= expected;
    long silenceMs = nowMs - lastHeartbeatMs;
    if (expected < MANY_MACHINES) {
      long enoughMs = mostNeverHeard ? unheardMs : 2 * windowMs;
      return expected >= SOME_MACHINES && silenceMs >= enoughMs;
    }
    if (silenceMs >= shortSilenceMs
        && misdirected.count() * SHORT_SILENCE_MISDIRECTED_PART > expected) {
      return true;
    }
    if (mostNeverHeard) {
      // An earlier leader that is cut off from the state service may still have the machines.
      return silenceMs >= unheardMs;
    }
    return heard * PERCENT < expected * MIN_HEARD_PERCENT;
  }

  /**
   * A machine that only records of earlier leaders mention, and that the cloud's list does not
   * show, is most likely gone: no other leader would hear it. If it were expected, each leader in
   * turn would resign before it had listened for long enough to prove its tasks gone.
   */
  private boolean mayExist(Machine machine) {
    return machine.isListed() || !isMachineListRead.getAsBoolean();
  }
}
