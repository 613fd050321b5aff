package org.ploverspindle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The protocol's own field names occur only as text, and only in the classes that read and write
 * the wire or stored records. Everything else uses the terms of docs/glossary.md.
 */
final class TerminologyTest {
  private static final Path MAIN = Path.of("src/main/java/org/ploverspindle");

  private static final Set<String> PROTOCOL_WORDS =
      Set.of("tenure", "tally", "warrant", "stamp", "ledger", "apart", "awaits");

  private static final Pattern CODEC = Pattern.compile(".*(Codec|Record)|Http.*");

  private static final Pattern COMMENT_OR_TEXT =
      Pattern.compile("/\\*.*?\\*/|//[^\\n]*|\"(?:\\\\.|[^\"\\\\\\n])*\"", Pattern.DOTALL);

  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z_$][A-Za-z0-9_$]*");

  private static final Pattern WORD = Pattern.compile("[A-Z]?[a-z]+|[A-Z]+(?![a-z])");

  @Test
  void noIdentifierHasANameOfTheProtocol() throws IOException {
    Set<String> found = new TreeSet<>();
    for (Path file : sources()) {
      String code = COMMENT_OR_TEXT.matcher(Files.readString(file)).replaceAll("\"\"");
      IDENTIFIER
          .matcher(code)
          .results()
          .map(MatchResult::group)
          .filter(TerminologyTest::hasProtocolWord)
          .forEach(name -> found.add(file.getFileName() + ": " + name));
    }
    assertEquals(Set.of(), found);
  }

  @Test
  void protocolNamesAreWrittenByCodecsAlone() throws IOException {
    Set<String> found = new TreeSet<>();
    for (Path file : sources()) {
      if (CODEC.matcher(typeName(file)).matches()) {
        continue;
      }
      COMMENT_OR_TEXT
          .matcher(Files.readString(file))
          .results()
          .map(MatchResult::group)
          .filter(text -> text.startsWith("\""))
          .filter(text -> PROTOCOL_WORDS.contains(text.substring(1, text.length() - 1)))
          .forEach(text -> found.add(file.getFileName() + ": " + text));
    }
    assertEquals(Set.of(), found);
  }

  @Test
  void wordsInsideNamesAreFound() {
    assertTrue(hasProtocolWord("lastKnownTenure"));
    assertTrue(hasProtocolWord("MAX_TALLY"));
    assertTrue(hasProtocolWord("WarrantCheck"));
    assertTrue(!hasProtocolWord("timestamp") && !hasProtocolWord("apartment"));
  }

  private static boolean hasProtocolWord(String identifier) {
    return WORD.matcher(identifier)
        .results()
        .map(word -> word.group().toLowerCase(Locale.ROOT))
        .anyMatch(PROTOCOL_WORDS::contains);
  }

  private static String typeName(Path file) {
    return file.getFileName().toString().replace(".java", "");
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.walk(MAIN)) {
      List<Path> sources = files.filter(file -> file.toString().endsWith(".java")).toList();
      assertTrue(sources.size() > 100, "the sources are read from the project's folder");
      return sources;
    }
  }
}
