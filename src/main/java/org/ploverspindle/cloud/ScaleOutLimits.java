package org.ploverspindle.cloud;

import java.util.HashSet;
import java.util.Set;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * Limits how many machines one scale-out round may request in a group. The limit depends on the
 * rate limits of the cloud and the state service, and on the cloud's answer to the group's last
 * request.
 */
final class ScaleOutLimits {
  /** Share of the calls to the cloud between two rounds that one group's requests may take. */
  private static final double CALL_SHARE = 0.4;

  /**
   * Share of the writes to the state service between two rounds that the records of one group's
   * intents may take.
   */
  private static final double WRITE_SHARE = 0.15;

  private final GroupBackoffs backoffs;

  /**
   * How many machines one round may request in a group whose last request was filled. GEP-24 sends
   * only one request in a round. With that, a fleet of hundreds of machines would take minutes to
   * come up, because the cloud limits the number of machines in one request.
   */
  private final int maxPerRound;

  /**
   * Groups whose last request was refused or filled only in part. Their next round sends a single
   * request, to find out whether the cloud has capacity again.
   */
  private final Set<MachineGroup> unfilledGroups = new HashSet<>();

  /**
   * @param callsPerS the rate of the budget of calls to the cloud, in calls per second
   */
  ScaleOutLimits(GroupBackoffs backoffs, Policy policy, Settings settings, double callsPerS) {
    this.backoffs = backoffs;
    double calls = callsPerS * policy.scanS() * CALL_SHARE;
    // Each request needs an intent that is recorded before, and the leader's other writes must not
    // wait for these records.
    double writes = settings.effectiveStateLimits().changesPerS() * policy.scanS() * WRITE_SHARE;
    int maxRequests = Math.max(1, (int) Math.min(calls, writes));
    this.maxPerRound = ProvisioningIntents.MAX_MACHINES_PER_REQUEST * maxRequests;
  }

  /**
   * How many machines one round may request in the group. If its last request was not filled, this
   * is the size of one request: several requests at once would be refused together, and writing
   * their intents would delay the writes of placements.
   */
  int maxPerRound(MachineGroup group) {
    return unfilledGroups.contains(group)
        ? ProvisioningIntents.MAX_MACHINES_PER_REQUEST
        : maxPerRound;
  }

  /** Whether the group gets no request now. */
  boolean isBackedOff(MachineGroup group) {
    return backoffs.isBackedOff(group);
  }

  /** Records that a request was refused or filled only in part, and backs the group off. */
  void recordUnfilled(MachineGroup group) {
    unfilledGroups.add(group);
    backoffs.backOff(group);
  }

  /** Records that a request was filled. */
  void recordFilled(MachineGroup group) {
    unfilledGroups.remove(group);
  }
}
