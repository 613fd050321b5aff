package org.ploverspindle.pipelines;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.model.Priority;

/**
 * Computes the expected state from all facts: abortion by iteration until nothing changes, and the
 * values of the critical path by recursion. It is slow, and shares no code with the classes under
 * test.
 */
final class ReferenceDependencies {
  final Map<String, List<String>> dependencies = new LinkedHashMap<>();
  final Set<String> done = new HashSet<>();
  final Set<String> cancelled = new HashSet<>();

  boolean isReady(String uid) {
    return done.containsAll(dependencies.getOrDefault(uid, List.of()));
  }

  Set<String> abortedUids() {
    Set<String> aborted = new HashSet<>(cancelled);
    boolean changed = true;
    while (changed) {
      changed = false;
      for (Map.Entry<String, List<String>> entry : dependencies.entrySet()) {
        if (!Collections.disjoint(entry.getValue(), aborted)) {
          changed |= aborted.add(entry.getKey());
        }
      }
    }
    return aborted;
  }

  /**
   * The latest finish in wall-clock milliseconds, found by following every path from the job to its
   * dependents; {@link Long#MAX_VALUE} if no job on these paths has a deadline.
   */
  long latestFinishMs(
      String uid, Map<String, CriticalPath.OwnValues> ownValues, Set<String> aborted) {
    long latestMs = ownValues.get(uid).latestFinishWallMs().orElse(Long.MAX_VALUE);
    for (String dependent : unfinishedDependents(uid, aborted)) {
      long dependentLatestMs = latestFinishMs(dependent, ownValues, aborted);
      if (dependentLatestMs != Long.MAX_VALUE) {
        latestMs =
            Math.min(
                latestMs, dependentLatestMs - Math.round(1000 * ownValues.get(dependent).runS()));
      }
    }
    return latestMs;
  }

  Priority highestPriority(
      String uid, Map<String, CriticalPath.OwnValues> ownValues, Set<String> aborted) {
    Priority highest = ownValues.get(uid).priority();
    for (String dependent : unfinishedDependents(uid, aborted)) {
      Priority dependentPriority = highestPriority(dependent, ownValues, aborted);
      highest = dependentPriority.ordinal() < highest.ordinal() ? dependentPriority : highest;
    }
    return highest;
  }

  private List<String> unfinishedDependents(String uid, Set<String> aborted) {
    return dependencies.entrySet().stream()
        .filter(entry -> entry.getValue().contains(uid))
        .map(Map.Entry::getKey)
        .filter(dependent -> !done.contains(dependent) && !aborted.contains(dependent))
        .toList();
  }
}
