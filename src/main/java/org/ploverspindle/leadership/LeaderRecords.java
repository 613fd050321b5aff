package org.ploverspindle.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.ploverspindle.leases.RoleHolder;
import org.ploverspindle.leases.RoleRecords;
import org.ploverspindle.model.Term;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;

/**
 * Encodes and decodes the stored records of leadership, in the form that all versions read. The
 * epoch of the role is the first fencing token of the term.
 */
final class LeaderRecords implements RoleRecords {
  @Override
  public String name() {
    return "leader";
  }

  @Override
  public String holderKey() {
    return Keys.LEADER;
  }

  @Override
  public String epochKey() {
    return Keys.FENCING_TOKEN;
  }

  @Override
  public JsonNode encode(RoleHolder holder) {
    return Cbor.map()
        .put("member", holder.controllerName())
        .put("nonce", holder.nonce())
        .put("token", holder.epoch())
        .put("hold", holder.leaseId());
  }

  @Override
  public Optional<RoleHolder> decode(JsonNode record) {
    if (!record.path("member").isTextual()
        || !record.path("nonce").isTextual()
        || !record.path("token").canConvertToLong()
        || !record.path("hold").canConvertToLong()) {
      return Optional.empty();
    }
    return Optional.of(
        new RoleHolder(
            record.path("member").asText(),
            record.path("nonce").asText(),
            record.path("token").asLong(),
            record.path("hold").asLong()));
  }

  /** Encodes the last token of the term that takes this epoch; the next term begins above it. */
  @Override
  public JsonNode encodeEpoch(long latestEpoch) {
    return Cbor.map().put("n", latestEpoch + Term.TOKENS_PER_TERM - 1);
  }

  @Override
  public Optional<Long> nextEpoch(Optional<JsonNode> record) {
    if (record.isEmpty()) {
      return Optional.of(1L);
    }
    JsonNode last = record.get().path("n");
    return last.canConvertToLong() && last.asLong() >= 0
        ? Optional.of(last.asLong() + 1)
        : Optional.empty();
  }
}
