package org.ploverspindle.cloud;

import java.util.HashSet;
import java.util.Set;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * Limits what one scale-out round may request of a group, by the rate limits and by how the cloud
 * answered the group's last request.
 */
final class ScaleOutLimits {
  /** Part of the calls between two rounds that one group's requests may take. */
  private static final double CALL_SHARE = 0.4;

  /** Part of the state service's writes that the records of one group's intents may take. */
  private static final double WRITE_SHARE = 0.15;

  private final GroupBackoffs backoffs;

  /**
   * GEP-24 sends one request a round. A fleet of hundreds would then take minutes to come up, as
   * the cloud limits the machines of one request.
   */
  private final int maxPerRound;

  /** Groups whose last request was refused or partly filled: the next one only tries. */
  private final Set<MachineGroup> limitedGroups = new HashSet<>();

  /**
   * @param callsPerS the rate of the budget of calls to the cloud
   */
  ScaleOutLimits(GroupBackoffs backoffs, Policy policy, Settings settings, double callsPerS) {
    this.backoffs = backoffs;
    double calls = callsPerS * policy.scanS() * CALL_SHARE;
    // Each intent is recorded first, and the leader's other writes must not wait for the records.
    double writes = settings.effectiveStateLimits().changesPerS() * policy.scanS() * WRITE_SHARE;
    int maxRequests = Math.max(1, (int) Math.min(calls, writes));
    this.maxPerRound = ProvisioningIntents.MAX_MACHINES_PER_REQUEST * maxRequests;
  }

  /**
   * How many machines of the group one round may request. After a refusal it is one request:
   * several at once would be refused together, and their records would hold up placements.
   */
  int maxPerRound(MachineGroup group) {
    return limitedGroups.contains(group)
        ? ProvisioningIntents.MAX_MACHINES_PER_REQUEST
        : maxPerRound;
  }

  /** True when the group gets no request at present. */
  boolean isBackedOff(MachineGroup group) {
    return backoffs.isBackedOff(group);
  }

  /** A request was refused or filled in part: the group backs off. */
  void notFilled(MachineGroup group) {
    limitedGroups.add(group);
    backoffs.backOff(group);
  }

  /** A request was filled. */
  void filled(MachineGroup group) {
    limitedGroups.remove(group);
  }
}
