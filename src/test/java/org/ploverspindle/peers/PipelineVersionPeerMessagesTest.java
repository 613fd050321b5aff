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
 * Compares peer messages with their encoding by commit f659783, the first version with pipelines.
 * Controllers of both versions exchange messages during an upgrade. Guards against a change of the
 * number of a kind, or of the encoding of a field, for example by a rename in the code.
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

  /** That version skips a message of a kind that it does not know. */
  private static final List<Class<?>> LATER_KINDS = List.of(PeerMessage.Heartbeat.class);

  private static JsonNode encodedByPipelineVersion() throws IOException {
    try (var in =
        PipelineVersionPeerMessagesTest.class.getResourceAsStream("/head-f659783-records.json")) {
      return new ObjectMapper().readTree(in).path("peers");
    }
  }

  @Test
  void fixtureHoldsEveryKind() throws Exception {
    assertEquals(
        PeerMessage.class.getPermittedSubclasses().length, EVERY_KIND.size() + LATER_KINDS.size());
    assertEquals(EVERY_KIND.size(), encodedByPipelineVersion().size());
  }

  @Test
  void messagesAreEncodedInTheSameBytesAsByThatVersion() throws Exception {
    for (PeerMessage message : EVERY_KIND) {
      assertEquals(
          encodedByPipelineVersion().path(message.controllerName()).asText(),
          HexFormat.of().formatHex(PeerCodec.encode(message)),
          message.toString());
    }
  }

  @Test
  void messagesEncodedByThatVersionAreDecodedWithAllFields() throws Exception {
    for (PeerMessage message : EVERY_KIND) {
      String hex = encodedByPipelineVersion().path(message.controllerName()).asText();
      ByteBuffer received = ByteBuffer.wrap(HexFormat.of().parseHex(hex));
      int length = PeerCodec.nextBodyLength(received);
      assertEquals(Optional.of(message), PeerCodec.decodeNext(received, length));
    }
  }
}
