package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The epochs of workers at one time, to find out later whose worker lease has expired since. */
final class WorkerEpochs {
  private final Map<SimWorker, Long> initialEpochs = new HashMap<>();

  WorkerEpochs(List<SimWorker> workers) {
    workers.forEach(worker -> initialEpochs.put(worker, worker.workerEpoch()));
  }

  int workerCount() {
    return initialEpochs.size();
  }

  /** Number of workers that are in a later epoch now, as their lease has expired. */
  long expiredCount() {
    return initialEpochs.entrySet().stream()
        .filter(worker -> worker.getKey().workerEpoch() > worker.getValue())
        .count();
  }
}
