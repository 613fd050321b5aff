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
 * @param jobRecord the job's stored form
 * @param dependencyList its dependencies, if they are too many for that record
 * @param receivedMs from when on its user waits
 * @param responder is called once with the response
 */
record Submission(
    JobSpec spec,
    JsonNode jobRecord,
    Optional<DependenciesRecord> dependencyList,
    long receivedMs,
    Consumer<ApiResponse> responder) {
  /** Quotes, colon and comma around the name of a value. */
  private static final int NAME_OVERHEAD_BYTES = 4;

  /** What the record and its name take of a value's size. */
  int storedBytes() {
    return Cbor.jsonSize(jobRecord) + spec.uid().length() + NAME_OVERHEAD_BYTES;
  }

  Submission withReceivedMs(long newReceivedMs) {
    return new Submission(spec, jobRecord, dependencyList, newReceivedMs, responder);
  }
}
