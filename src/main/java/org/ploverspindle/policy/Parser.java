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

  /** Groups of the token pattern; a group's number is the ordinal of its {@link Kind} plus 1. */
  private static final int NUMBER_GROUP = 1;

  private static final int WORD_GROUP = 2;
  private static final int QUOTED_GROUP = 3;

  /** Limits the recursion, since a line of 10,000 parentheses must not overflow the stack. */
  private static final int MAX_DEPTH = 50;

  private enum Kind {
    NUMBER,
    WORD,
    QUOTED,
    SYMBOL,
    END
  }

  private record Token(Kind kind, String text, int column) {}

  private final List<Token> tokens;
  private int nextIndex;
  private int depth;

  Parser(String line) throws PolicyException {
    tokens = tokenize(line);
  }

  private static List<Token> tokenize(String line) throws PolicyException {
    List<Token> tokens = new ArrayList<>();
    Matcher matcher = TOKEN.matcher(line);
    int position = 0;
    while (position < line.length() && !line.substring(position).isBlank()) {
      if (!matcher.find(position) || matcher.start() != position) {
        throw new PolicyException(
            position + 1, "unexpected text \"" + line.substring(position).strip() + "\"");
      }
      Kind kind = kind(matcher);
      int group = kind.ordinal() + 1;
      tokens.add(new Token(kind, matcher.group(group), matcher.start(group) + 1));
      position = matcher.end();
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
    return matcher.group(QUOTED_GROUP) != null ? Kind.QUOTED : Kind.SYMBOL;
  }

  private Token peek() {
    return tokens.get(nextIndex);
  }

  private Token advance() {
    Token token = peek();
    if (token.kind() != Kind.END) {
      nextIndex++;
    }
    return token;
  }

  private boolean accept(String text) {
    Token token = peek();
    if ((token.kind() == Kind.SYMBOL || token.kind() == Kind.WORD) && token.text().equals(text)) {
      nextIndex++;
      return true;
    }
    return false;
  }

  private void expect(String text) throws PolicyException {
    if (!accept(text)) {
      throw new PolicyException(
          peek().column(), "expected \"" + text + "\" but found " + peek().text());
    }
  }

  /**
   * Parses the left side and the equals sign. The left side is a setting's name, {@code pool "TYPE"
   * min} or {@code pool "TYPE" max}. Returns the name, {@code pool/TYPE/min} or {@code
   * pool/TYPE/max}.
   */
  String parseTarget() throws PolicyException {
    Token token = advance();
    if (token.kind() != Kind.WORD) {
      throw new PolicyException(
          token.column(), "expected a setting's name but found " + token.text());
    }
    String target = token.text();
    if (target.equals("pool")) {
      Token type = advance();
      Token bound = advance();
      if (type.kind() != Kind.QUOTED
          || !bound.text().equals("min") && !bound.text().equals("max")) {
        throw new PolicyException(
            token.column(), "expected: pool \"TYPE\" min = VALUE or pool \"TYPE\" max = VALUE");
      }
      target = "pool/" + type.text() + "/" + bound.text();
    }
    expect("=");
    return target;
  }

  /** Parses the rest of the line as one expression. */
  Expression parseExpression() throws PolicyException {
    Expression expression = parseIfOrComparison();
    if (peek().kind() != Kind.END) {
      throw new PolicyException(
          peek().column(), "unexpected " + peek().text() + " after the end of the expression");
    }
    return expression;
  }

  private Expression parseIfOrComparison() throws PolicyException {
    if (++depth > MAX_DEPTH) {
      throw new PolicyException(
          peek().column(), "expression nested too deeply, more than " + MAX_DEPTH + " levels");
    }
    try {
      int column = peek().column();
      if (accept("if")) {
        Expression condition = parseIfOrComparison();
        expect("then");
        Expression then = parseIfOrComparison();
        expect("else");
        return new Expression.If(condition, then, parseIfOrComparison(), column);
      }
      Expression left = parseSum();
      for (String operator : List.of("<=", ">=", "==", "<", ">")) {
        if (accept(operator)) {
          return new Expression.Binary(operator, left, parseSum(), column);
        }
      }
      return left;
    } finally {
      depth--;
    }
  }

  private Expression parseSum() throws PolicyException {
    Expression left = parseProduct();
    while (true) {
      int column = peek().column();
      if (accept("+")) {
        left = new Expression.Binary("+", left, parseProduct(), column);
      } else if (accept("-")) {
        left = new Expression.Binary("-", left, parseProduct(), column);
      } else {
        return left;
      }
    }
  }

  private Expression parseProduct() throws PolicyException {
    Expression left = parseUnary();
    while (true) {
      int column = peek().column();
      if (accept("*")) {
        left = new Expression.Binary("*", left, parseUnary(), column);
      } else if (accept("/")) {
        left = new Expression.Binary("/", left, parseUnary(), column);
      } else {
        return left;
      }
    }
  }

  private Expression parseUnary() throws PolicyException {
    Token token = advance();
    if (token.kind() == Kind.NUMBER) {
      return new Expression.NumberLiteral(Double.parseDouble(token.text()), token.column());
    }
    if (token.kind() == Kind.SYMBOL && token.text().equals("-")) {
      return parseNegation(token);
    }
    if (token.kind() == Kind.SYMBOL && token.text().equals("(")) {
      Expression inner = parseIfOrComparison();
      expect(")");
      return inner;
    }
    if (token.kind() != Kind.WORD) {
      throw new PolicyException(
          token.column(),
          "expected a number, a name, a function call, \"-\" or \"(\" but found " + token.text());
    }
    return accept("(") ? parseCall(token) : new Expression.Name(token.text(), token.column());
  }

  private Expression parseNegation(Token sign) throws PolicyException {
    if (++depth > MAX_DEPTH) {
      throw new PolicyException(
          sign.column(), "expression nested too deeply, more than " + MAX_DEPTH + " levels");
    }
    Expression operand = parseUnary();
    depth--;
    return new Expression.Negation(operand, sign.column());
  }

  /** Parses a function call whose name and opening parenthesis have been consumed. */
  private Expression parseCall(Token function) throws PolicyException {
    List<Expression> arguments = new ArrayList<>();
    do {
      arguments.add(parseIfOrComparison());
    } while (accept(","));
    expect(")");
    return new Expression.Call(function.text(), arguments, function.column());
  }
}
