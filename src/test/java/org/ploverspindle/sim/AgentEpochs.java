package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The agent epochs that workers were in at one time, to tell later whose lease has expired. */
final class AgentEpochs {
  private final Map<SimWorker, Long> before = new HashMap<>();

  AgentEpochs(List<SimWorker> workers) {
    workers.forEach(worker -> before.put(worker, worker.agentEpoch()));
  }

  int workers() {
    return before.size();
  }

  /** How many of the workers are in a later epoch by now. */
  long ended() {
    return before.entrySet().stream()
        .filter(worker -> worker.getKey().agentEpoch() > worker.getValue())
        .count();
  }
}
