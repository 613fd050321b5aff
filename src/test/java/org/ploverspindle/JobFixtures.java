package org.ploverspindle;

import java.util.BitSet;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.JobSpec;

/** Creates jobs of a leader's term for tests to which only a few fields matter. */
public final class JobFixtures {
  private static final int TEAM = 0;
  private static final int ANY_ZONE = -1;
  private static final int ZONES = 1;

  private JobFixtures() {}

  /** A job of the first team, accepted at time 0, that may run in the only zone. */
  public static Job job(JobSpec spec, int shardSize) {
    return new Job(spec, 0, shardSize, TEAM, new BitSet(), ANY_ZONE, ZONES);
  }
}
