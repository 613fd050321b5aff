package org.ploverspindle.cluster;

import org.ploverspindle.model.Resources;

/**
 * An attempt that a heartbeat listed on a machine where this leader has no placement for it. The
 * worker gets a command to stop it. It uses resources until a heartbeat no longer lists it.
 *
 * @param team index of the team that the resources count for, or {@link #UNKNOWN_TEAM}
 */
record OrphanedTask(String uid, int task, long attempt, int team, Resources resources) {
  /** Used instead of a team's index when the team of the job is not known. */
  static final int UNKNOWN_TEAM = -1;

  boolean hasTeam() {
    return team != UNKNOWN_TEAM;
  }
}
