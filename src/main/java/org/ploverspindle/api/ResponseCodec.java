package org.ploverspindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ploverspindle.net.Cbor;

/** The wire form of response bodies: CBOR maps with the protocol's field names. */
final class ResponseCodec {
  private static final String UID = "uid";
  private static final String STATUS = "status";
  private static final String COMPLETED_TASKS = "done";
  private static final String RUNNING_TASKS = "running";
  private static final String ERROR = "error";
  private static final String LEADER = "steward";

  private ResponseCodec() {}

  /** Encodes a job's status alone, for responses to submissions and cancellations. */
  static byte[] encodeStatus(String uid, JobStatus status) {
    return Cbor.write(jobStatus(uid, status));
  }

  /**
   * Encodes a job's status and its numbers of tasks, for responses to queries and repeated
   * submissions.
   */
  static byte[] encodeState(JobState job) {
    return Cbor.write(
        jobStatus(job.uid(), job.status())
            .put(COMPLETED_TASKS, job.completedTasks())
            .put(RUNNING_TASKS, job.runningTasks()));
  }

  /** Encodes the reason why a request failed. */
  static byte[] encodeError(String message) {
    return Cbor.write(Cbor.map().put(ERROR, message));
  }

  /** Encodes the name of the controller that leads. */
  static byte[] encodeLeader(String leader) {
    return Cbor.write(Cbor.map().put(LEADER, leader));
  }

  /** Encodes a line of text for operators. */
  static byte[] encodeText(String line) {
    return Cbor.write(Cbor.map().put(STATUS, line));
  }

  private static ObjectNode jobStatus(String uid, JobStatus status) {
    return Cbor.map().put(UID, uid).put(STATUS, status.wireName());
  }
}
