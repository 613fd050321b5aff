package org.ploverspindle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.Priority;

/**
 * Guards against stored names that change when an enum constant is renamed. Other versions read the
 * same records, and could not read a changed name.
 */
class StoredNamesTest {
  @Test
  void enumConstantsKeepTheirStoredNames() {
    assertEquals(
        List.of("batch", "gang", "service"),
        Arrays.stream(JobKind.values()).map(StoredNames::of).toList());
    assertEquals(
        List.of("critical", "high", "normal", "best_effort"),
        Arrays.stream(Priority.values()).map(StoredNames::of).toList());
  }

  @Test
  void storedNamesReadBackAndUnknownNamesAreRejected() {
    for (JobKind kind : JobKind.values()) {
      assertEquals(Optional.of(kind), StoredNames.kind(StoredNames.of(kind)));
    }
    for (Priority priority : Priority.values()) {
      assertEquals(Optional.of(priority), StoredNames.priority(StoredNames.of(priority)));
    }
    assertEquals(Optional.empty(), StoredNames.kind(""));
    assertEquals(Optional.empty(), StoredNames.priority("urgent"));
  }
}
