package org.ploverspindle.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses one line of a policy by recursive descent:
 *
 * <pre>
 * expr    = "if" expr "then" expr "else" expr | sum [ ("&lt;" | "&lt;=" | "&gt;" | "&gt;=" | "==") sum ]
 * sum     = product { ("+" | "-") product }
 * product = unary { ("*" | "/") unary }
 * unary   = "-" unary | number | name | name "(" expr { "," expr } ")" | "(" expr ")"
 * </pre>
 */
final class Parser {
  private static final Pattern TOKEN =
      Pattern.compile(
          "\\s*(?:(\\d+(?:\\.\\d+)?)|([A-Za-z_][A-Za-z0-9_]*)|\"([^\"]*)\"|(<=|>=|==|[-+*/()<>,=]))");

  /** Groups of the pattern above; each is the ordinal of its {@link Kind} and one. */
  private static final int NUMBER_GROUP = 1;

  private static final int WORD_GROUP = 2;
  private static final int QUOTED_GROUP = 3;

  /** Bounds the recursion: a line of ten thousand parentheses must not overflow the stack. */
  private static final int MAX_DEPTH = 50;

  private enum Kind {
    NUMBER,
    WORD,
    QUOTED,
    SIGN,
    END
  }

  private record Token(Kind kind, String text, int column) {}

  private final List<Token> tokens;
  private int next;
  private int depth;

  Parser(String line) throws PolicyException {
    tokens = scan(line);
  }

  private static List<Token> scan(String line) throws PolicyException {
    List<Token> tokens = new ArrayList<>();
    Matcher matcher = TOKEN.matcher(line);
    int at = 0;
    while (at < line.length() && !line.substring(at).isBlank()) {
      if (!matcher.find(at) || matcher.start() != at) {
        throw new PolicyException(at + 1, "unexpected \"" + line.substring(at).strip() + "\"");
      }
      Kind kind = kind(matcher);
      int group = kind.ordinal() + 1;
      tokens.add(new Token(kind, matcher.group(group), matcher.start(group) + 1));
      at = matcher.end();
    }
    tokens.add(new Token(Kind.END, "the end of the line", line.length() + 1));
    return tokens;
  }

  private static Kind kind(Matcher matcher) {
    if (matcher.group(NUMBER_GROUP) != null) {
      return Kind.NUMBER;
    }
    if (matcher.group(WORD_GROUP) != null) {
      return Kind.WORD;
    }
    return matcher.group(QUOTED_GROUP) != null ? Kind.QUOTED : Kind.SIGN;
  }

  private Token peek() {
    return tokens.get(next);
  }

  private Token take() {
    Token token = peek();
    if (token.kind() != Kind.END) {
      next++;
    }
    return token;
  }

  private boolean takeIf(String text) {
    Token token = peek();
    if ((token.kind() == Kind.SIGN || token.kind() == Kind.WORD) && token.text().equals(text)) {
      next++;
      return true;
    }
    return false;
  }

  private void expect(String text) throws PolicyException {
    if (!takeIf(text)) {
      throw new PolicyException(
          peek().column(), "expected \"" + text + "\" and found " + peek().text());
    }
  }

  /**
   * Parses the left side, a setting's name or {@code pool "TYPE" min}, and the equals sign. Returns
   * the name, or {@code pool/TYPE/min}.
   */
  String target() throws PolicyException {
    Token token = take();
    if (token.kind() != Kind.WORD) {
      throw new PolicyException(token.column(), "a line must begin with a setting's name");
    }
    String target = token.text();
    if (target.equals("pool")) {
      Token type = take();
      Token bound = take();
      if (type.kind() != Kind.QUOTED
          || !bound.text().equals("min") && !bound.text().equals("max")) {
        throw new PolicyException(token.column(), "expected: pool \"TYPE\" min or max");
      }
      target = "pool/" + type.text() + "/" + bound.text();
    }
    expect("=");
    return target;
  }

  /** Parses the rest of the line. */
  Expression expression() throws PolicyException {
    Expression expression = choiceOrComparison();
    if (peek().kind() != Kind.END) {
      throw new PolicyException(peek().column(), "unexpected " + peek().text());
    }
    return expression;
  }

  private Expression choiceOrComparison() throws PolicyException {
    if (++depth > MAX_DEPTH) {
      throw new PolicyException(peek().column(), "nested too deeply");
    }
    try {
      int column = peek().column();
      if (takeIf("if")) {
        Expression condition = choiceOrComparison();
        expect("then");
        Expression then = choiceOrComparison();
        expect("else");
        return new Expression.If(condition, then, choiceOrComparison(), column);
      }
      Expression left = sum();
      for (String operator : List.of("<=", ">=", "==", "<", ">")) {
        if (takeIf(operator)) {
          return new Expression.Binary(operator, left, sum(), column);
        }
      }
      return left;
    } finally {
      depth--;
    }
  }

  private Expression sum() throws PolicyException {
    Expression left = product();
    while (true) {
      int column = peek().column();
      if (takeIf("+")) {
        left = new Expression.Binary("+", left, product(), column);
      } else if (takeIf("-")) {
        left = new Expression.Binary("-", left, product(), column);
      } else {
        return left;
      }
    }
  }

  private Expression product() throws PolicyException {
    Expression left = unary();
    while (true) {
      int column = peek().column();
      if (takeIf("*")) {
        left = new Expression.Binary("*", left, unary(), column);
      } else if (takeIf("/")) {
        left = new Expression.Binary("/", left, unary(), column);
      } else {
        return left;
      }
    }
  }

  private Expression unary() throws PolicyException {
    Token token = take();
    if (token.kind() == Kind.NUMBER) {
      return new Expression.Num(Double.parseDouble(token.text()), token.column());
    }
    if (token.kind() == Kind.SIGN && token.text().equals("-")) {
      return negation(token);
    }
    if (token.kind() == Kind.SIGN && token.text().equals("(")) {
      Expression inner = choiceOrComparison();
      expect(")");
      return inner;
    }
    if (token.kind() != Kind.WORD) {
      throw new PolicyException(token.column(), "expected a value and found " + token.text());
    }
    return takeIf("(") ? call(token) : new Expression.Name(token.text(), token.column());
  }

  private Expression negation(Token sign) throws PolicyException {
    if (++depth > MAX_DEPTH) {
      throw new PolicyException(sign.column(), "nested too deeply");
    }
    Expression of = unary();
    depth--;
    return new Expression.Negate(of, sign.column());
  }

  /** The call of a function, whose name and opening parenthesis are taken. */
  private Expression call(Token function) throws PolicyException {
    List<Expression> arguments = new ArrayList<>();
    do {
      arguments.add(choiceOrComparison());
    } while (takeIf(","));
    expect(")");
    return new Expression.Call(function.text(), arguments, function.column());
  }
}
