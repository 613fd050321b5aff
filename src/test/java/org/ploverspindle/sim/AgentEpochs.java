package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The agent epochs that workers were in at one time, to tell later whose lease has expired. */
final class AgentEpochs {
  private final Map<SimWorker, Long> initialEpochs = new HashMap<>();

  AgentEpochs(List<SimWorker> workers) {
    workers.forEach(worker -> initialEpochs.put(worker, worker.agentEpoch()));
  }

  int workerCount() {
    return initialEpochs.size();
  }

  /** How many of the workers are in a later epoch by now. */
  long expiredCount() {
    return initialEpochs.entrySet().stream()
        .filter(worker -> worker.getKey().agentEpoch() > worker.getValue())
        .count();
  }
}
