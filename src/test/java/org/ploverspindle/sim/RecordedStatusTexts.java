package org.ploverspindle.sim;

import java.util.Arrays;
import org.ploverspindle.progress.RecordedProgress;

/** The statuses that this version reads, in the form of {@link ReferenceProgressRecords}. */
final class RecordedStatusTexts {
  private RecordedStatusTexts() {}

  static String[] of(
      ReferenceProgressRecords.StoredJob job, RecordedProgress.RecordedStatuses read) {
    String[] texts = new String[job.tasks()];
    Arrays.fill(texts, ReferenceProgressRecords.WAITING);
    read.placements()
        .forEach(
            (task, placement) ->
                texts[task] =
                    ReferenceProgressRecords.liveStatus(
                        placement.attempt(), placement.machine().id(), placement.workerEpoch()));
    read.completed().stream().forEach(task -> texts[task] = ReferenceProgressRecords.DONE);
    return texts;
  }
}
