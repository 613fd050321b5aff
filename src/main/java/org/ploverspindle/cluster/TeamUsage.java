package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.ploverspindle.model.Resources;
import org.ploverspindle.settings.Settings;

/**
 * The resources that the tasks of each team use, compared with the team's guarantee and limit. A
 * task counts from the decision to place it until it is proven gone. Teams are identified by their
 * index in the settings. Amounts are in thousandths of a core or accelerator, as in {@link
 * Resources}.
 */
public final class TeamUsage {
  private static final double THOUSANDTHS = 1000;

  /** Added before rounding down, so that a limit such as 0.3 does not become 299 thousandths. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /**
   * A guarantee covers amounts that exceed it by at most half of the smallest unit, because amounts
   * are rounded to thousandths.
   */
  private static final double HALF_THOUSANDTH = 0.5;

  private final List<Settings.Team> teams;
  private final long[] usedCores;
  private final long[] usedAccelerators;

  public TeamUsage(List<Settings.Team> teams) {
    this.teams = teams;
    this.usedCores = new long[teams.size()];
    this.usedAccelerators = new long[teams.size()];
  }

  /** The index of the team with this name; empty if the settings name no such team. */
  public Optional<Integer> indexOf(String name) {
    for (int team = 0; team < teams.size(); team++) {
      if (teams.get(team).name().equals(name)) {
        return Optional.of(team);
      }
    }
    return Optional.empty();
  }

  public void add(int team, Resources resources) {
    usedCores[team] += resources.cores();
    usedAccelerators[team] += resources.accelerators();
  }

  public void remove(int team, Resources resources) {
    usedCores[team] -= resources.cores();
    usedAccelerators[team] -= resources.accelerators();
  }

  /**
   * How many more tasks of this size the team's limit allows; {@link Integer#MAX_VALUE} if no limit
   * applies to them.
   */
  public int tasksWithinLimit(int team, Resources perTask) {
    Settings.Team settings = teams.get(team);
    return Math.min(
        tasksWithinLimit(settings.maxCores(), usedCores[team], perTask.cores()),
        tasksWithinLimit(
            settings.maxAccelerators(), usedAccelerators[team], perTask.accelerators()));
  }

  private static int tasksWithinLimit(double limit, long used, long perTask) {
    if (limit <= 0 || perTask <= 0) {
      return Integer.MAX_VALUE;
    }
    return (int) Math.max(0, (limitInThousandths(limit) - used) / perTask);
  }

  private static long limitInThousandths(double limit) {
    return (long) Math.floor(limit * THOUSANDTHS + ROUNDING_TOLERANCE);
  }

  /** Whether the team would stay within its guarantee if it used these resources in addition. */
  public boolean isWithinGuarantee(int team, Resources additional) {
    return guaranteeCovers(
        team,
        new Resources(
            usedCores[team] + additional.cores(),
            usedAccelerators[team] + additional.accelerators(),
            0));
  }

  /** Whether the team's guarantee covers these resources in total. */
  public boolean guaranteeCovers(int team, Resources total) {
    Settings.Team settings = teams.get(team);
    return isCovered(total.cores(), settings.guaranteedCores())
        && isCovered(total.accelerators(), settings.guaranteedAccelerators());
  }

  private static boolean isCovered(long amount, double guarantee) {
    return amount <= guarantee * THOUSANDTHS + HALF_THOUSANDTH;
  }

  /** Thousandths of a core that the team may still use within its limit; empty without a limit. */
  public OptionalLong remainingCores(int team) {
    double limit = teams.get(team).maxCores();
    return limit <= 0
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, limitInThousandths(limit) - usedCores[team]));
  }
}
