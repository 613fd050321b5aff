package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import org.ploverspindle.model.Resources;

/** The team that a job counts for, and the resources that each of its tasks takes. */
public record JobOwner(String team, Resources perTask) {
  /** Reads the owner from the record of a job. Missing fields count as empty or 0. */
  static JobOwner of(JsonNode record) {
    return new JobOwner(
        record.path("team").asText(),
        Resources.needed(
            record.path("cores").asDouble(),
            record.path("accel").asDouble(),
            record.path("mem").asDouble()));
  }
}
