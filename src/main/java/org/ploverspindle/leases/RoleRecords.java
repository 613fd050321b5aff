package org.ploverspindle.leases;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** The keys and the encoding of the stored records of a role. */
public interface RoleRecords {
  /** Returns the name of the role for log lines. */
  String name();

  /** Returns the key of the holder's record, which exists while the role is held. */
  String holderKey();

  /** Returns the key of the epoch record, which is kept when the role has no holder. */
  String epochKey();

  /** Returns the stored form of the holder's record. */
  JsonNode encode(RoleHolder holder);

  /** Decodes a holder's record; empty if it is malformed. */
  Optional<RoleHolder> decode(JsonNode record);

  /** Returns the stored form of the epoch record after this epoch was used for a holder. */
  JsonNode encodeEpoch(long latestEpoch);

  /**
   * Returns an epoch that is higher than all epochs used so far; empty if the record is malformed.
   *
   * @param record the epoch record; empty if the role never had a holder
   */
  Optional<Long> nextEpoch(Optional<JsonNode> record);
}
