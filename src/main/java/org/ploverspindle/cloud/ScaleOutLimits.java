package org.ploverspindle.cloud;

import java.util.HashSet;
import java.util.Set;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * How many machines of a group one scan may ask for, and what follows from how the cloud answered
 * the group's last rental.
 */
final class ScaleOutLimits {
  /** Part of what the cloud's rate allows between two scans that one group's rentals may take. */
  private static final double GROUP_SHARE = 0.4;

  /** Part of the state service's changes that one group's claims may take. */
  private static final double RECORDS_SHARE = 0.15;

  private final GroupBackoffs backoffs;

  /**
   * Machines of one group that may be rented in one scan. The design has one rental; a fleet of
   * hundreds would then take minutes to come up, as the cloud rents at most 50 machines at a time.
   */
  private final int mostPerScan;

  /** Groups whose last rental was refused or partly filled: the next one is a try. */
  private final Set<Autoscaler.MachineGroup> edges = new HashSet<>();

  /**
   * @param callsPerS rate of calls to the cloud
   */
  ScaleOutLimits(GroupBackoffs backoffs, Policy policy, Settings settings, double callsPerS) {
    this.backoffs = backoffs;
    double calls = callsPerS * policy.scanS() * GROUP_SHARE;
    // Each is recorded before it is asked for, and the leader's other writes must not wait for it.
    double records = settings.writeLimits().writeRps() * policy.scanS() * RECORDS_SHARE;
    this.mostPerScan =
        ProvisioningIntents.MAX_MACHINES_PER_REQUEST * Math.max(1, (int) Math.min(calls, records));
  }

  /**
   * What one scan may rent of the group. After a refusal one rental is asked for before more: five
   * at once were refused together, and their ten records held up a second's placements.
   */
  int most(Autoscaler.MachineGroup group) {
    return edges.contains(group) ? ProvisioningIntents.MAX_MACHINES_PER_REQUEST : mostPerScan;
  }

  /** A rental of the group was refused, or filled in part: the group backs off. */
  void notFilled(Autoscaler.MachineGroup group) {
    edges.add(group);
    backoffs.backOff(group);
  }

  void filled(Autoscaler.MachineGroup group) {
    edges.remove(group);
  }
}
