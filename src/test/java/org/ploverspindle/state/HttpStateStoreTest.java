package org.ploverspindle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ploverspindle.net.HttpResult;

/** How answers of the state service are interpreted. */
class HttpStateStoreTest {
  private static List<StateStore.ChangesResult> changesFor(HttpResult result) {
    List<StateStore.ChangesResult> received = new ArrayList<>();
    new HttpStateStore((method, path, body, timeoutMs, callback) -> callback.accept(result))
        .readChanges("x/", 7, received::add);
    return received;
  }

  /**
   * Changes have no size limit. A replica that was partitioned for a minute in a busy deployment
   * requested more changes than it accepts, and repeated the same request until the service had
   * discarded them; meanwhile its controller could not serve anything.
   */
  @Test
  void tooManyOrDiscardedChangesRequireReadingAllKeys() {
    assertEquals(
        List.of(new StateStore.ChangesResult.TooOld()), changesFor(new HttpResult.TooLarge(1)));
    assertEquals(
        List.of(new StateStore.ChangesResult.TooOld()),
        changesFor(new HttpResult.Response(410, new byte[0])));
    assertEquals(
        List.of(new StateStore.ChangesResult.Failed()),
        changesFor(new HttpResult.NoResponse("lost")));
  }
}
