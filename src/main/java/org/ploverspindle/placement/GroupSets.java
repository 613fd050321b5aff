package org.ploverspindle.placement;

import java.util.BitSet;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.Catalogue;

/** Represents sets of machine groups as bit sets, in which each group has a fixed index. */
final class GroupSets {
  private static final int KINDS = 2;

  private final Catalogue catalogue;

  GroupSets(Catalogue catalogue) {
    this.catalogue = catalogue;
  }

  /** Returns the group's index in a set. */
  int index(MachineGroup group) {
    return index(group.type(), group.zone(), group.spot());
  }

  /**
   * Returns the index in a set of the group with this type, zone and kind. Callers that look up
   * many machines avoid creating a group for each.
   */
  int index(int type, int zone, boolean spot) {
    return (type * catalogue.zoneCount() + zone) * KINDS + (spot ? 1 : 0);
  }

  /** Returns the set of all groups. */
  BitSet all() {
    BitSet groups = new BitSet();
    groups.set(0, catalogue.types().size() * catalogue.zoneCount() * KINDS);
    return groups;
  }

  /** Returns the groups on whose machines the job's tasks may run and fit. */
  BitSet usableBy(Job job) {
    BitSet groups = new BitSet();
    BitSet types = job.compatibleTypes();
    for (int type = types.nextSetBit(0); type >= 0; type = types.nextSetBit(type + 1)) {
      for (int zone = 0; zone < catalogue.zoneCount(); zone++) {
        if (job.requiredZone() < 0 || job.requiredZone() == zone) {
          groups.set(index(type, zone, false));
          groups.set(index(type, zone, true), job.spec().spot());
        }
      }
    }
    return groups;
  }

  /** True when every group of the first set is also in the second. */
  static boolean isSubset(BitSet subset, BitSet superset) {
    BitSet missing = (BitSet) subset.clone();
    missing.andNot(superset);
    return missing.isEmpty();
  }
}
