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
  private Optional<Long> currentEpoch = Optional.empty();
  private int staleActions;
  private int currentActions;
  private int nonIncreasingEpochs;
  private int unconditionalAcquisitions;

  /** Takes in what was carried out, in its order. */
  void committed(Transaction transaction) {
    for (Change change : transaction.changes()) {
      if (change instanceof Change.Put put && put.key().equals(RoleCluster.HOLDER_KEY)) {
        long newEpoch = put.value().path("epoch").asLong();
        boolean higher = currentEpoch.map(last -> newEpoch > last).orElse(true);
        nonIncreasingEpochs += higher && epochs.add(newEpoch) ? 0 : 1;
        currentEpoch = Optional.of(newEpoch);
        unconditionalAcquisitions += isConditional(transaction) ? 0 : 1;
      } else if (change instanceof Change.Put put && put.key().equals(RoleCluster.ACTION_KEY)) {
        boolean current = Optional.of(put.value().path("epoch").asLong()).equals(currentEpoch);
        currentActions += current ? 1 : 0;
        staleActions += current ? 0 : 1;
      }
    }
  }

  /**
   * A try that is carried out late must fail: on the holder's record while another one holds the
   * duty, and on the epochs' record when that one has come and gone meanwhile.
   */
  private static boolean isConditional(Transaction transaction) {
    boolean requiresNoHolder =
        transaction.conditions().stream()
            .anyMatch(
                condition ->
                    condition.key().equals(RoleCluster.HOLDER_KEY) && condition.modRevision() == 0);
    boolean requiresSameEpochRecord =
        transaction.conditions().stream()
            .anyMatch(condition -> condition.key().equals(RoleCluster.EPOCH_KEY));
    return requiresNoHolder && requiresSameEpochRecord;
  }

  /** Holders whose record was written without both conditions. */
  int unconditionalAcquisitions() {
    return unconditionalAcquisitions;
  }

  /** The epoch of the last holder. */
  Optional<Long> currentEpoch() {
    return currentEpoch;
  }

  int acquisitions() {
    return epochs.size();
  }

  int currentActions() {
    return currentActions;
  }

  /** Actions of a former holder that were carried out after the next one's record stood. */
  int staleActions() {
    return staleActions;
  }

  /** Holders whose epoch was not above all earlier ones. */
  int nonIncreasingEpochs() {
    return nonIncreasingEpochs;
  }
}
