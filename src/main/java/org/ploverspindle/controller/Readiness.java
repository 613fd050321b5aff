package org.ploverspindle.controller;

import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.leadership.Election;
import org.ploverspindle.state.Replica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides when this controller joins the election, whether users should be sent to it, and when it
 * resigns because only this controller can't use the state service.
 */
final class Readiness {
  private static final Logger LOG = LoggerFactory.getLogger(Readiness.class);

  /**
   * How old the last update may be, in milliseconds, for this controller to be ready. After a
   * longer time its event loop answers no request either.
   */
  static final long MAX_UPDATE_AGE_MS = 10_000;

  private final Scheduler scheduler;
  private final Replica replica;
  private final MachineTypeLoader machineTypes;
  private final Election election;
  private final StateReachability stateReachability;
  private final ReadinessRule rule;
  private final BooleanSupplier isFailingToWrite;
  private final Runnable startElection;
  private boolean electionStarted;
  private ReadinessRule.Verdict verdict = ReadinessRule.Verdict.READS_STATE;
  private volatile boolean ready;
  private volatile long updatedMs;

  /**
   * @param isFailingToWrite whether this controller leads and none of its writes is executed
   * @param startElection makes this controller take part in the election; is called once
   */
  Readiness(
      Scheduler scheduler,
      Replica replica,
      MachineTypeLoader machineTypes,
      Election election,
      StateReachability stateReachability,
      ReadinessRule rule,
      BooleanSupplier isFailingToWrite,
      Runnable startElection) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.machineTypes = machineTypes;
    this.election = election;
    this.stateReachability = stateReachability;
    this.rule = rule;
    this.isFailingToWrite = isFailingToWrite;
    this.startElection = startElection;
  }

  /**
   * Returns whether users should be sent to this controller: the last update decided so, and it was
   * not long ago. May be called on any thread, so that a controller whose event loop is blocked is
   * not ready.
   */
  boolean isReady() {
    return ready && scheduler.nowMs() - updatedMs <= MAX_UPDATE_AGE_MS;
  }

  /**
   * Updates the decisions; must be called at regular intervals. This controller takes part in the
   * election once its replica is loaded and the machine types are known, since it can't interpret
   * the stored records without them. From then on {@link ReadinessRule} decides whether it is
   * ready.
   */
  void update() {
    updatedMs = scheduler.nowMs();
    machineTypes.loadFromReplica();
    boolean writesFail = isFailingToWrite.getAsBoolean();
    stateReachability.probeIfStale(writesFail);
    if (!electionStarted && replica.isLoaded() && machineTypes.isLoaded()) {
      electionStarted = true;
      startElection.run();
    }
    if (electionStarted) {
      setVerdict(rule.evaluate());
    }
    resignIfIneffective(writesFail);
  }

  private void setVerdict(ReadinessRule.Verdict newVerdict) {
    if (newVerdict != verdict || newVerdict.isReady() != ready) {
      LOG.info(
          "controller {}: {}", newVerdict.isReady() ? "ready" : "not ready", newVerdict.reason());
    }
    verdict = newVerdict;
    ready = newVerdict.isReady();
  }

  /** One field for the status page: why this controller is or is not ready. */
  String summary() {
    return electionStarted ? verdict.name().toLowerCase(Locale.ROOT) : "loading";
  }

  /**
   * Resigns if this controller leads, its reads or all of its writes fail, and other controllers
   * reach the state service. Such a leader could renew its lease and keep leading without any
   * effect.
   */
  private void resignIfIneffective(boolean writesFail) {
    boolean readsFail = election.isAuthoritative() && stateReachability.isUnreachable();
    if (stateReachability.isReachableByPeers() && (writesFail || readsFail)) {
      election.resignWithBackoff("the state service serves others, and refuses this leader");
    }
  }
}
