package org.azurearch.pgm;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Declares the name and the one-line summary of a {@link Subcommand}. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface Command {
    /** Returns the name on the command line. */
    String name();

    /** Returns the key of the summary text. */
    PgmText summary();
}
