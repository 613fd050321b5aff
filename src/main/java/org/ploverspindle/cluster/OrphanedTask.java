package org.ploverspindle.cluster;

import org.ploverspindle.model.Resources;

/**
 * An attempt that a heartbeat showed on a machine on which this leader has no placement for it. Its
 * stop is sent, and it takes resources until a heartbeat shows it no more.
 *
 * @param team index of the team that the resources count for, or {@link #UNKNOWN_TEAM}
 */
record OrphanedTask(String uid, int task, long attempt, int team, Resources resources) {
  /** The team of a job of which nothing is known. */
  static final int UNKNOWN_TEAM = -1;

  boolean hasTeam() {
    return team != UNKNOWN_TEAM;
  }
}
