package org.ploverspindle.placement;

import org.ploverspindle.cluster.Machine;

/**
 * The machines of one type and one kind (spot or on-demand) in one zone. Each request to the cloud
 * is for machines of one group, and refusals and backoff apply to the group.
 *
 * @param type index of the machine type in the catalogue
 * @param zone index of the zone in the catalogue
 * @param spot true for spot machines, false for on-demand ones
 */
public record MachineGroup(int type, int zone, boolean spot) {
  /** Returns the group to which the machine belongs. */
  public static MachineGroup of(Machine machine) {
    return new MachineGroup(machine.type(), machine.zone(), machine.isSpot());
  }
}
