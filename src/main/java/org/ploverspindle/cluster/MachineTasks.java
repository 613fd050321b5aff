package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.model.Resources;

/**
 * The placements and orphaned tasks on one machine, the resources that they use, and the images of
 * the tasks that were placed there.
 */
final class MachineTasks {
  private final Map<Long, Placement> placements = new HashMap<>();
  private final Collection<Placement> placementsView =
      Collections.unmodifiableCollection(placements.values());
  private final List<OrphanedTask> orphans = new ArrayList<>();
  private final List<OrphanedTask> orphansView = Collections.unmodifiableList(orphans);
  private final Set<String> images = new HashSet<>();
  private Resources used = Resources.NONE;
  private long emptySinceMs;

  MachineTasks(long emptySinceMs) {
    this.emptySinceMs = emptySinceMs;
  }

  Resources used() {
    return used;
  }

  /** The placements on the machine: a live, unmodifiable view. */
  Collection<Placement> placements() {
    return placementsView;
  }

  /** The placement of the attempt, or null. */
  Placement placement(long attempt) {
    return placements.get(attempt);
  }

  void add(Placement placement) {
    placements.put(placement.attempt(), placement);
    used = used.plus(placement.job().perTask());
    String image = placement.job().spec().image();
    if (!image.isEmpty()) {
      images.add(image);
    }
  }

  void remove(Placement placement, long nowMs) {
    if (placements.remove(placement.attempt()) == null) {
      return;
    }
    used = used.minus(placement.job().perTask());
    if (placements.isEmpty()) {
      emptySinceMs = nowMs;
    }
  }

  /** The orphaned tasks on the machine: a live, unmodifiable view. */
  List<OrphanedTask> orphans() {
    return orphansView;
  }

  void addOrphan(OrphanedTask orphan) {
    orphans.add(orphan);
    used = used.plus(orphan.resources());
  }

  void clearOrphans() {
    for (OrphanedTask orphan : orphans) {
      used = used.minus(orphan.resources());
    }
    orphans.clear();
  }

  boolean hasImage(String image) {
    return images.contains(image);
  }

  void clearImages() {
    images.clear();
  }

  boolean isEmpty() {
    return placements.isEmpty() && orphans.isEmpty();
  }

  long emptySinceMs() {
    return emptySinceMs;
  }

  /** Restarts the time without placements from now. */
  void restartEmptyPeriod(long nowMs) {
    emptySinceMs = nowMs;
  }
}
