package org.ploverspindle.leadership;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;

/**
 * Detects that heartbeats of most machines do not reach this leader, or that its responses do not
 * reach them. A leader that reaches the state service but not its workers would otherwise stay the
 * leader while all worker leases expire. Nothing is concluded here about any single machine.
 */
final class LeaderConnectivity {
  /**
   * With at least this many machines, heartbeats of nearly all of them do not stop at the same time
   * by chance. With fewer machines the leader waits longer for heartbeats before it resigns, and
   * does not conclude that responses are lost.
   */
  private static final int LARGE_CLUSTER_MACHINES = 20;

  /** With fewer machines than this, missing heartbeats are no reason to resign. */
  private static final int MIN_MACHINES = 4;

  /**
   * Length of the heartbeat window, in milliseconds for each second of the heartbeat interval. The
   * margin is added. A machine whose heartbeats arrive sends at least one within the window.
   */
  private static final int WINDOW_MS_PER_INTERVAL_S = 1_250;

  private static final long WINDOW_MARGIN_MS = 2_000;

  /**
   * Length of the short silence, in milliseconds for each second of the heartbeat interval: a time
   * without any heartbeat that is a reason to resign if many machines turn to other controllers.
   */
  private static final int SHORT_SILENCE_MS_PER_INTERVAL_S = 650;

  /** A longer time than this between two checks shows that this process was paused. */
  private static final long PROCESS_PAUSE_MS = 1_200;

  /**
   * Responses count as lost if there are more misdirected heartbeats than this percentage of the
   * machines that are up.
   */
  private static final int MAX_MISDIRECTED_PERCENT = 60;

  /**
   * Responses count as lost if less than this percentage of the machines that have been up for two
   * heartbeat windows have shown that they receive commands.
   */
  private static final int MIN_RECEIVING_PERCENT = 20;

  /**
   * Heartbeats count as lost if less than this percentage of the expected machines sent one within
   * the heartbeat window.
   */
  private static final int MIN_HEARD_PERCENT = 20;

  /**
   * The short silence is a reason to resign if there are more misdirected heartbeats than the
   * number of expected machines divided by this.
   */
  private static final int SHORT_SILENCE_MISDIRECTED_DIVISOR = 3;

  private static final int PERCENT = 100;

  private final MachineRegistry machines;
  private final BooleanSupplier isMachineListRead;
  private final boolean isOnlyController;
  private final long windowMs;
  private final long shortSilenceMs;
  private final long noContactTimeoutMs;
  private final MisdirectedHeartbeats misdirected;
  private long lastHeartbeatMs;
  private long lastCheckMs;
  private long receivingHeartbeatsSinceMs;
  private int maxHeard;

  /**
   * @param isMachineListRead whether the cloud's list of machines has been read in this term
   * @param minNoContactTimeoutMs the shortest time without any heartbeat, in milliseconds, after
   *     which a leader resigns that has never received heartbeats of most of its machines. If
   *     leadership is unstable, it must be long enough to prove that the tasks of these machines
   *     are gone. Otherwise leaders would replace each other without end, as none of them would
   *     stay long enough for that proof. 0 if leadership is stable.
   */
  LeaderConnectivity(
      MachineRegistry machines,
      Term term,
      Settings settings,
      BooleanSupplier isMachineListRead,
      long minNoContactTimeoutMs) {
    double intervalS = settings.workers().heartbeatIntervalS();
    this.machines = machines;
    this.isMachineListRead = isMachineListRead;
    this.isOnlyController = settings.controllerCount() < 2;
    this.windowMs = Math.round(intervalS * WINDOW_MS_PER_INTERVAL_S) + WINDOW_MARGIN_MS;
    this.shortSilenceMs = Math.round(intervalS * SHORT_SILENCE_MS_PER_INTERVAL_S);
    this.noContactTimeoutMs = Math.max(2 * windowMs, minNoContactTimeoutMs);
    this.misdirected = new MisdirectedHeartbeats(machines, windowMs);
    this.lastHeartbeatMs = term.startMs();
    this.lastCheckMs = term.startMs();
    this.receivingHeartbeatsSinceMs = term.startMs();
  }

  /** Records the arrival of a heartbeat, of whatever machine. */
  void recordHeartbeat(long nowMs) {
    lastHeartbeatMs = nowMs;
  }

  /**
   * Records how many heartbeats reached another controller although their machines had received
   * responses of this leader.
   */
  void recordMisdirectedHeartbeats(long nowMs, int heartbeats) {
    misdirected.record(nowMs, heartbeats);
  }

  /** Since when this process has received heartbeats without a pause, on the steady clock. */
  long receivingHeartbeatsSinceMs() {
    return receivingHeartbeatsSinceMs;
  }

  /**
   * Why this leader should resign because another controller may have better connections; empty if
   * there is no such reason. To be called periodically, several times per second.
   *
   * <p>After a pause of this process, heartbeats that arrived during the pause have not been read,
   * and machines have turned to other controllers. This says nothing about the present connections.
   * So no reason is returned until a whole heartbeat window has passed without a pause.
   */
  Optional<String> resignationCause(long nowMs) {
    if (nowMs - lastCheckMs > PROCESS_PAUSE_MS) {
      receivingHeartbeatsSinceMs = nowMs;
      misdirected.clear();
    }
    lastCheckMs = nowMs;
    misdirected.update(nowMs);
    if (isOnlyController || nowMs - receivingHeartbeatsSinceMs < windowMs) {
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
   * Whether heartbeats arrive but responses are lost: many machines turn to other controllers
   * although they had received responses of this leader, or few machines have shown their current
   * fencing token.
   */
  private boolean areResponsesLost(long nowMs) {
    if (nowMs - receivingHeartbeatsSinceMs < 2 * windowMs) {
      return false;
    }
    int misdirectedCount = misdirected.count();
    int up = 0;
    int established = 0;
    int receiving = 0;
    for (Machine machine : machines.all()) {
      if (machine.isUp() && nowMs - machine.lastHeartbeatMs() < 2 * windowMs) {
        up++;
        // A machine with a recent first heartbeat may not have had time to show its token.
        boolean isEstablished = nowMs - machine.firstHeartbeatMs() >= 2 * windowMs;
        established += isEstablished ? 1 : 0;
        receiving += isEstablished && machine.receivesCommands() ? 1 : 0;
      }
    }
    return up >= LARGE_CLUSTER_MACHINES && misdirectedCount * PERCENT > up * MAX_MISDIRECTED_PERCENT
        || established >= LARGE_CLUSTER_MACHINES
            && receiving * PERCENT < established * MIN_RECEIVING_PERCENT;
  }

  /**
   * Whether heartbeats of nearly all machines are missing at the same time. Then the fault is in
   * this controller's connections, and the machines may reach another controller.
   *
   * <p>If heartbeats of most machines never arrived in this term, another leader would probably
   * receive no more of them, so this leader waits longer. If many machines turn to other
   * controllers meanwhile, the short silence is enough, as each redirect back to this leader costs
   * them seconds of their worker lease.
   */
  private boolean areHeartbeatsLost(long nowMs) {
    int expected = 0;
    int heard = 0;
    for (Machine machine : machines.all()) {
      boolean isUp = machine.isUp();
      heard += isUp && nowMs - machine.lastHeartbeatMs() < windowMs ? 1 : 0;
      expected += isUp || !machine.placements().isEmpty() && isHeartbeatExpected(machine) ? 1 : 0;
    }
    maxHeard = Math.max(maxHeard, heard);
    boolean mostNeverHeard = maxHeard * 2 <= expected;
    long silenceMs = nowMs - lastHeartbeatMs;
    if (expected < LARGE_CLUSTER_MACHINES) {
      long timeoutMs = mostNeverHeard ? noContactTimeoutMs : 2 * windowMs;
      return expected >= MIN_MACHINES && silenceMs >= timeoutMs;
    }
    if (silenceMs >= shortSilenceMs
        && misdirected.count() * SHORT_SILENCE_MISDIRECTED_DIVISOR > expected) {
      return true;
    }
    if (mostNeverHeard) {
      // An earlier leader that can't reach the state service may still respond to the machines.
      return silenceMs >= noContactTimeoutMs;
    }
    return heard * PERCENT < expected * MIN_HEARD_PERCENT;
  }

  /**
   * Whether a machine that has sent no heartbeat in this term is expected to send any. If it is
   * known only from records of earlier leaders and missing from the cloud's list, it is most likely
   * gone, and no other leader would receive heartbeats of it. If it were expected, each leader in
   * turn would resign before it had waited long enough to prove the machine's tasks gone.
   */
  private boolean isHeartbeatExpected(Machine machine) {
    return machine.isListed() || !isMachineListRead.getAsBoolean();
  }
}
