package org.ploverspindle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ploverspindle.net.HttpResult;

/** Tests how {@link HttpStateStore} interprets responses of the state service. */
class HttpStateStoreTest {
  private static List<StateStore.ChangesResult> changesFor(HttpResult result) {
    List<StateStore.ChangesResult> received = new ArrayList<>();
    new HttpStateStore((method, path, body, timeoutMs, callback) -> callback.accept(result))
        .readChanges("x/", 7, received::add);
    return received;
  }

  /**
   * Guards against a replica that repeats a request whose response is always too large. The state
   * service does not limit the size of changes. After a network partition of a minute in a busy
   * deployment, a replica requested more changes than its client accepts. It repeated this request
   * until the state service had discarded the changes, and its controller could serve no requests
   * until then.
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
