package org.ploverspindle.cloud;

import java.util.ArrayList;
import java.util.List;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.sizing.AdaptiveSizing;

/**
 * The pools of GEP-24, one for each machine type: how many machines each zone has, including those
 * that are requested, and the bounds of each zone.
 */
final class Pools {
  private final Catalogue catalogue;
  private final MachineRegistry fleet;
  private final ProvisioningIntents intents;
  private final GroupBackoffs backoffs;
  private final Policy policy;

  Pools(
      Catalogue catalogue,
      MachineRegistry fleet,
      ProvisioningIntents intents,
      GroupBackoffs backoffs,
      Policy policy) {
    this.catalogue = catalogue;
    this.fleet = fleet;
    this.intents = intents;
    this.backoffs = backoffs;
    this.policy = policy;
  }

  /** The bounds of a machine type's groups, one for each zone, in the order of the zones. */
  List<AdaptiveSizing.Bounds> bounds(int type, List<AdaptiveSizing.Group> groups) {
    Policy.PoolBounds pool = policy.pool(catalogue.type(type).name());
    return AdaptiveSizing.bounds(pool.min(), pool.max(), groups);
  }

  /**
   * A machine type's groups, one for each zone, in the order of the zones. Spot and on-demand
   * machines of a zone count together, and the zone is backed off only if both of them are.
   */
  List<AdaptiveSizing.Group> groups(int type) {
    int[] held = new int[catalogue.zoneCount()];
    for (Machine machine : fleet.all()) {
      if (machine.type() == type && !machine.isDecommissioning()) {
        held[machine.zone()]++;
      }
    }
    List<AdaptiveSizing.Group> groups = new ArrayList<>();
    for (int zone = 0; zone < held.length; zone++) {
      boolean backedOff =
          backoffs.isBackedOff(new MachineGroup(type, zone, true))
              && backoffs.isBackedOff(new MachineGroup(type, zone, false));
      groups.add(
          new AdaptiveSizing.Group(
              held[zone] + intents.unansweredMachineCount(type, zone), backedOff));
    }
    return groups;
  }
}
