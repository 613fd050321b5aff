package org.ploverspindle.policy;

import java.util.List;

/** An expression of the policy language. */
sealed interface Expr {
  /** Where it begins, for messages. */
  int column();

  record Num(double value, int column) implements Expr {}

  record Name(String name, int column) implements Expr {}

  record Negate(Expr of, int column) implements Expr {}

  record Binary(String op, Expr left, Expr right, int column) implements Expr {}

  record Call(String function, List<Expr> arguments, int column) implements Expr {}

  record If(Expr condition, Expr then, Expr otherwise, int column) implements Expr {}
}
