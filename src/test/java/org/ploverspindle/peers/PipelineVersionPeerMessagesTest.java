package org.ploverspindle.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Peer records as commit f659783 (the first version with pipelines) encodes them: controllers of
 * both versions talk to each other while an upgrade is under way, and a rename in the code must not
 * change a kind's number or a field.
 */
class PipelineVersionPeerMessagesTest {
  private static final List<PeerMessage> EVERY_KIND =
      List.of(
          new PeerMessage.Leading("n-1", (1L << 40) + 5),
          new PeerMessage.Resigned("n-2", (1L << 20) + 7),
          new PeerMessage.StateChanged("n-3"),
          new PeerMessage.MisdirectedHeartbeats("n-4", 1_119),
          new PeerMessage.ReachabilityProbe("n-5"),
          new PeerMessage.ReachabilityReply("n-6"));

  private static JsonNode encodedByHead() throws IOException {
    try (var in =
        PipelineVersionPeerMessagesTest.class.getResourceAsStream("/head-f659783-records.json")) {
      return new ObjectMapper().readTree(in).path("peers");
    }
  }

  @Test
  void everyKindIsInTheFixture() throws Exception {
    assertEquals(PeerMessage.class.getPermittedSubclasses().length, EVERY_KIND.size());
    assertEquals(EVERY_KIND.size(), encodedByHead().size());
  }

  @Test
  void theyAreEncodedInTheSameBytes() throws Exception {
    for (PeerMessage record : EVERY_KIND) {
      assertEquals(
          encodedByHead().path(record.member()).asText(),
          HexFormat.of().formatHex(PeerCodec.encode(record)),
          record.toString());
    }
  }

  @Test
  void theyAreReadAsTheSame() throws Exception {
    for (PeerMessage record : EVERY_KIND) {
      String hex = encodedByHead().path(record.member()).asText();
      ByteBuffer received = ByteBuffer.wrap(HexFormat.of().parseHex(hex));
      int length = PeerCodec.wholeFrame(received);
      assertEquals(Optional.of(record), PeerCodec.take(received, length));
    }
  }
}
