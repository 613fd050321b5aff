package org.ploverspindle.sim;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Transaction;

/**
 * A duty as the state service sees it: who holds it is who wrote the record last. No clocks, no
 * leases; it counts what must never be accepted.
 */
final class ReferenceRole {
  private final Set<Long> epochs = new HashSet<>();
  private Optional<Long> epoch = Optional.empty();
  private int staleAccepted;
  private int accepted;
  private int epochsNotAbove;
  private int unconditional;

  /** Takes in what was carried out, in its order. */
  void written(Transaction txn) {
    for (Change change : txn.changes()) {
      if (change instanceof Change.Put put && put.key().equals(RoleCluster.HOLDER)) {
        long fresh = put.value().path("epoch").asLong();
        boolean above = epoch.map(last -> fresh > last).orElse(true);
        epochsNotAbove += above && epochs.add(fresh) ? 0 : 1;
        epoch = Optional.of(fresh);
        unconditional += isConditional(txn) ? 0 : 1;
      } else if (change instanceof Change.Put put && put.key().equals(RoleCluster.ACTION)) {
        boolean current = Optional.of(put.value().path("epoch").asLong()).equals(epoch);
        accepted += current ? 1 : 0;
        staleAccepted += current ? 0 : 1;
      }
    }
  }

  /**
   * A try that is carried out late must fail: on the holder's record while another one holds the
   * duty, and on the epochs' record when that one has come and gone meanwhile.
   */
  private static boolean isConditional(Transaction txn) {
    boolean nobodyHolds =
        txn.conditions().stream()
            .anyMatch(c -> c.key().equals(RoleCluster.HOLDER) && c.modRevision() == 0);
    boolean sameEpochs =
        txn.conditions().stream().anyMatch(c -> c.key().equals(RoleCluster.EPOCHS));
    return nobodyHolds && sameEpochs;
  }

  /** Holders whose record was written without both conditions. */
  int unconditional() {
    return unconditional;
  }

  /** The epoch of the last holder. */
  Optional<Long> epoch() {
    return epoch;
  }

  int holders() {
    return epochs.size();
  }

  int accepted() {
    return accepted;
  }

  /** Actions of a former holder that were carried out after the next one's record stood. */
  int staleAccepted() {
    return staleAccepted;
  }

  /** Holders whose epoch was not above all earlier ones. */
  int epochsNotAbove() {
    return epochsNotAbove;
  }
}
