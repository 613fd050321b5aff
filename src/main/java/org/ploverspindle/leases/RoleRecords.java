package org.ploverspindle.leases;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** How a duty's holder and its epochs are stored. */
public interface RoleRecords {
  /** The duty's name, for people. */
  String name();

  /** The key of the holder's record. It exists while the duty is held. */
  String holderKey();

  /** The key of the epochs' record, which stays. */
  String epochKey();

  /** The holder's record in its stored form. */
  JsonNode encode(RoleHolder holder);

  /** Reads a holder's record; empty if it can't be understood. */
  Optional<RoleHolder> decode(JsonNode record);

  /** The epochs' record from the moment on at which this epoch was taken. */
  JsonNode encodeEpochs(long taken);

  /**
   * The epoch that follows all that were taken; empty if the record can't be understood.
   *
   * @param record the epochs' record, if there is one yet
   */
  Optional<Long> nextEpoch(Optional<JsonNode> record);
}
