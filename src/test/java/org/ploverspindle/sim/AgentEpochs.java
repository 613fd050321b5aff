package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The epochs of workers at one time, to find out later whose worker lease has expired since. */
final class AgentEpochs {
  private final Map<SimWorker, Long> initialEpochs = new HashMap<>();

  AgentEpochs(List<SimWorker> workers) {
    workers.forEach(worker -> initialEpochs.put(worker, worker.agentEpoch()));
  }

  int workerCount() {
    return initialEpochs.size();
  }

  /** Number of workers that are in a later epoch now, as their lease has expired. */
  long expiredCount() {
    return initialEpochs.entrySet().stream()
        .filter(worker -> worker.getKey().agentEpoch() > worker.getValue())
        .count();
  }
}
