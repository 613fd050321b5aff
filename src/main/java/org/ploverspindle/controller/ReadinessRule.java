package org.ploverspindle.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.Replica;

/**
 * The rule by which a controller that has loaded the state is ready for users. It is ready while it
 * reads the state service, and not too slowly. While it does not, it can't answer most requests,
 * and the question is whether another controller can:
 *
 * <ol>
 *   <li>Another controller reports that it reads: this controller is not ready.
 *   <li>All other controllers are heard, and none of them reads: the state service has an outage
 *       for all, and this controller stays ready. The load balancer must not be left without a
 *       controller.
 *   <li>Some are silent. They may be cut off, ended or paused in an outage, or serve users while
 *       this controller is cut off; nothing that it can reach tells these cases apart. A controller
 *       that is heard and does not read proves nothing, as it may be cut off as well. The
 *       controllers take turns, see {@link ReadinessTurns}: this controller is ready only in its
 *       turn.
 * </ol>
 *
 * <p>A controller that was silent for a long time before the last read takes no turn, as it may be
 * gone for good. It does so if the last read showed it as the leader.
 *
 * <p>Readiness is a hint for the load balancer. No answer to a request depends on it.
 */
final class ReadinessRule {
  /** The state service counts as unreachable once the replica is staler than this. */
  static final long UNREACHABLE_AFTER_STALE_MS = 4_000;

  /** How much longer than that this controller may go without a prompt read. */
  private static final long SLOW_READS_TOLERATED_MS = 6_000;

  /**
   * A controller that was silent for this long before the last read may be gone for good. It is the
   * longest time for which a network partition is expected to last.
   */
  private static final long GONE_AFTER_SILENCE_MS = 300_000;

  /**
   * A separation goes on if it is seen again within this time: one read that succeeds in between
   * must not begin new turns at some controllers alone.
   */
  private static final long SEPARATION_CONTINUES_MS = 6_000;

  /** The load balancer counts removals within this time of each other. */
  private static final long REMOVALS_COUNT_MS = 120_000;

  /** Whether this controller is ready, and why. */
  enum Verdict {
    READS_STATE(true, "it reads the state service"),
    OUTAGE_FOR_ALL(true, "no controller reads the state service"),
    OTHERS_READ_STATE(false, "only this controller can't reach the state service"),
    MAY_BE_CUT_OFF(false, "it may be cut off from the state service and other controllers"),
    MAY_BE_CUT_OFF_BUT_HAS_TURN(true, "it may be cut off, and it is its turn to be ready");

    private final boolean ready;
    private final String reason;

    Verdict(boolean ready, String reason) {
      this.ready = ready;
      this.reason = reason;
    }

    String reason() {
      return reason;
    }

    boolean isReady() {
      return ready;
    }
  }

  private final Scheduler scheduler;
  private final Replica replica;
  private final PeerObservations peers;
  private final String controllerName;
  private final Supplier<Optional<String>> leaderName;
  private long separatedSinceMs = PeerObservation.NEVER_MS;
  private long lastSeparatedMs = PeerObservation.NEVER_MS;
  private int removalsBefore;
  private int removals;

  /**
   * @param controllerName the name of this controller
   * @param leaderName the leader that the last read showed
   */
  ReadinessRule(
      Scheduler scheduler,
      Replica replica,
      PeerObservations peers,
      String controllerName,
      Supplier<Optional<String>> leaderName) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.peers = peers;
    this.controllerName = controllerName;
    this.leaderName = leaderName;
  }

  /** Applies the rule now; must be called at regular intervals. */
  Verdict evaluate() {
    long lastReadMs =
        Math.min(replica.freshAsOfMs(), replica.promptAsOfMs() + SLOW_READS_TOLERATED_MS);
    if (scheduler.nowMs() - lastReadMs <= UNREACHABLE_AFTER_STALE_MS) {
      return Verdict.READS_STATE;
    }
    if (peers.anyHasReadAfter(lastReadMs)) {
      return Verdict.OTHERS_READ_STATE;
    }
    Set<String> present = peers.heardSince(lastReadMs - GONE_AFTER_SILENCE_MS);
    leaderName.get().filter(peers::isKnown).ifPresent(present::add);
    Set<String> silent = peers.silent();
    silent.retainAll(present);
    if (silent.isEmpty()) {
      return Verdict.OUTAGE_FOR_ALL;
    }
    recordSeparation(Math.max(lastReadMs, peers.earliestLastHeardMs(silent)));
    return hasTurn(present) ? Verdict.MAY_BE_CUT_OFF_BUT_HAS_TURN : Verdict.MAY_BE_CUT_OFF;
  }

  private void recordSeparation(long sinceMs) {
    long nowMs = scheduler.nowMs();
    long quietMs = nowMs - lastSeparatedMs;
    if (quietMs > SEPARATION_CONTINUES_MS) {
      removalsBefore = quietMs > REMOVALS_COUNT_MS ? 0 : removalsBefore + removals;
      separatedSinceMs = sinceMs;
    }
    lastSeparatedMs = nowMs;
  }

  private boolean hasTurn(Set<String> present) {
    Set<String> inTurns = new TreeSet<>(present);
    inTurns.add(controllerName);
    List<String> byRank = new ArrayList<>(inTurns);
    long elapsedMs = scheduler.nowMs() - separatedSinceMs;
    ReadinessTurns.Turn turn = ReadinessTurns.at(elapsedMs, byRank.size(), removalsBefore + 1);
    removals = turn.removals();
    return turn.includes(byRank.indexOf(controllerName), byRank.size());
  }
}
