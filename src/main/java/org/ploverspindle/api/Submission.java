package org.ploverspindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.DependenciesRecord;

/**
 * A job that a user submits, checked as far as that can be done without the replica.
 *
 * @param value its record
 * @param list its dependencies, if they are too many for that record
 * @param cameMs when it came, which is what its user's patience counts from
 */
record Submission(
    JobSpec spec,
    JsonNode value,
    Optional<DependenciesRecord> list,
    long cameMs,
    Consumer<ApiResponse> then) {
  /** Quotes, colon and comma around the name of a value. */
  private static final int NAME_FRAME_BYTES = 4;

  /** What the record and its name take of a value. */
  int bytes() {
    return Cbor.jsonSize(value) + spec.uid().length() + NAME_FRAME_BYTES;
  }

  Submission cameAt(long otherMs) {
    return new Submission(spec, value, list, otherMs, then);
  }
}
