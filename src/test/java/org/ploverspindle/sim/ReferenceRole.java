package org.ploverspindle.sim;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Transaction;

/**
 * Reference model of a role as the state service sees it: the holder is the controller whose holder
 * record was committed last. It has no clocks and no leases. It counts the commits that must never
 * happen.
 */
final class ReferenceRole {
  private final Set<Long> epochs = new HashSet<>();
  private Optional<Long> currentEpoch = Optional.empty();
  private int staleActions;
  private int currentActions;
  private int nonIncreasingEpochs;
  private int unconditionalAcquisitions;

  /** Applies a committed transaction. To be called in the order of the commits. */
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
   * Does the transaction that acquires the role have both conditions that make it fail if it is
   * executed late? The condition on the holder record fails while another controller holds the
   * role. The condition on the epoch record fails if another one has acquired and lost it in the
   * meantime.
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

  /** How many acquisitions were committed without both conditions. */
  int unconditionalAcquisitions() {
    return unconditionalAcquisitions;
  }

  /** The epoch of the last holder, even if it has lost the role. */
  Optional<Long> currentEpoch() {
    return currentEpoch;
  }

  int acquisitions() {
    return epochs.size();
  }

  int currentActions() {
    return currentActions;
  }

  /** How many actions of a former holder were committed after the next holder's record. */
  int staleActions() {
    return staleActions;
  }

  /** How many acquisitions had an epoch that was not above all earlier ones. */
  int nonIncreasingEpochs() {
    return nonIncreasingEpochs;
  }
}
