package org.ploverspindle.leases;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** How the holder of a role and its epochs are stored. */
public interface RoleRecords {
  /** The role's name, for log lines. */
  String name();

  /** The key of the holder's record. The record exists while the role is held. */
  String holderKey();

  /** The key of the record of epochs, which outlives every holder. */
  String epochKey();

  /** The holder's record in its stored form. */
  JsonNode encode(RoleHolder holder);

  /** Decodes a holder's record; empty if it is malformed. */
  Optional<RoleHolder> decode(JsonNode record);

  /** The record of epochs once this epoch is taken. */
  JsonNode encodeEpochs(long latestEpoch);

  /**
   * The epoch that follows all that were taken; empty if the record is malformed.
   *
   * @param record the record of epochs, if there is one yet
   */
  Optional<Long> nextEpoch(Optional<JsonNode> record);
}
