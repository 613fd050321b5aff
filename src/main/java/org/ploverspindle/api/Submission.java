package org.ploverspindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.DependenciesRecord;

/**
 * A job that a user submitted, checked as far as is possible without the replica.
 *
 * @param jobRecord the job's stored form
 * @param dependencyList the job's dependencies, if they are too many for its record; they are then
 *     stored separately
 * @param receivedMs time on the clock of the scheduler from which the age of the submission is
 *     counted
 * @param responder is called once with the response
 */
record Submission(
    JobSpec spec,
    JsonNode jobRecord,
    Optional<DependenciesRecord> dependencyList,
    long receivedMs,
    Consumer<ApiResponse> responder) {
  /** Two quotes, colon and comma around a field name in JSON. */
  private static final int NAME_OVERHEAD_BYTES = 4;

  /**
   * Returns the bytes that the record and its name, the uid, add to the value that stores the job.
   */
  int storedBytes() {
    return Cbor.jsonSize(jobRecord) + spec.uid().length() + NAME_OVERHEAD_BYTES;
  }

  Submission withReceivedMs(long newReceivedMs) {
    return new Submission(spec, jobRecord, dependencyList, newReceivedMs, responder);
  }

  Submission withResponder(Consumer<ApiResponse> newResponder) {
    return new Submission(spec, jobRecord, dependencyList, receivedMs, newResponder);
  }
}
