package org.ploverspindle.placement;

import org.ploverspindle.cluster.Machine;

/**
 * The machines of one type and one kind (spot or on-demand) in one zone. The cloud's capacity is
 * requested, refused and backed off by group.
 *
 * @param type index of the machine type in the catalogue
 * @param zone index of the zone in the catalogue
 */
public record MachineGroup(int type, int zone, boolean spot) {
  /** The group that the machine belongs to. */
  public static MachineGroup of(Machine machine) {
    return new MachineGroup(machine.type(), machine.zone(), machine.isSpot());
  }
}
