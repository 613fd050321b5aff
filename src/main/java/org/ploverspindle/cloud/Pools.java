package org.ploverspindle.cloud;

import java.util.ArrayList;
import java.util.List;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.sizing.AdaptiveSizing;

/** How many machines each group holds, rentals in flight included, and GEP-24's bounds for it. */
final class Pools {
  private final Catalogue catalogue;
  private final MachineRegistry fleet;
  private final ProvisioningIntents claims;
  private final GroupBackoffs backoffs;
  private final Policy policy;

  Pools(
      Catalogue catalogue,
      MachineRegistry fleet,
      ProvisioningIntents claims,
      GroupBackoffs backoffs,
      Policy policy) {
    this.catalogue = catalogue;
    this.fleet = fleet;
    this.claims = claims;
    this.backoffs = backoffs;
    this.policy = policy;
  }

  List<AdaptiveSizing.Bounds> bounds(int type, List<AdaptiveSizing.Group> groups) {
    Policy.PoolBounds pool = policy.pool(catalogue.type(type).name());
    return AdaptiveSizing.bounds(pool.min(), pool.max(), groups);
  }

  List<AdaptiveSizing.Group> groups(int type) {
    int[] held = new int[catalogue.zoneCount()];
    for (Machine m : fleet.all()) {
      if (m.type() == type && !m.isDecommissioning()) {
        held[m.zone()]++;
      }
    }
    List<AdaptiveSizing.Group> groups = new ArrayList<>();
    for (int z = 0; z < held.length; z++) {
      boolean bad =
          backoffs.backedOff(new Autoscaler.MachineGroup(type, z, true))
              && backoffs.backedOff(new Autoscaler.MachineGroup(type, z, false));
      groups.add(new AdaptiveSizing.Group(held[z] + claims.inFlight(type, z), bad));
    }
    return groups;
  }
}
