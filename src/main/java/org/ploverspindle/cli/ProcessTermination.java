package org.ploverspindle.cli;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process after an error that its threads can't recover from. A process that lived on
 * without its event loop would keep its sockets and not be restarted, and nothing would answer.
 */
final class ProcessTermination {
  private static final Logger LOG = LoggerFactory.getLogger(ProcessTermination.class);

  private ProcessTermination() {}

  /** Logs the error and ends the process at once, without running shutdown hooks. */
  static void haltAfter(Error error) {
    try {
      LOG.error("controller ends after an error on its event loop", error);
    } finally {
      // With a full heap, logging may fail as well, and shutdown hooks may never end.
      Runtime.getRuntime().halt(Main.FATAL_ERROR);
    }
  }
}
