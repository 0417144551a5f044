package org.azurearch.internal.yaml;

import java.util.regex.Pattern;
import org.yaml.snakeyaml.nodes.Tag;
import org.yaml.snakeyaml.resolver.Resolver;

/**
 * Resolves plain scalars by the rules of JSON, so that {@code no}, {@code 010} and {@code 12:30}
 * stay text.
 */
public final class StrictResolver extends Resolver {
    private static final Pattern BOOLEAN = Pattern.compile("^(?:true|false)$");
    private static final Pattern INTEGER = Pattern.compile("^-?(?:0|[1-9][0-9]{0,17})$");
    private static final Pattern DECIMAL =
            Pattern.compile("^-?(?:0|[1-9][0-9]{0,17})\\.[0-9]{1,17}$");
    private static final Pattern NULL_VALUE = Pattern.compile("^(?:~|null|)$");

    @Override
    protected void addImplicitResolvers() {
        addImplicitResolver(Tag.BOOL, BOOLEAN, "tf");
        addImplicitResolver(Tag.INT, INTEGER, "-0123456789");
        addImplicitResolver(Tag.FLOAT, DECIMAL, "-0123456789");
        addImplicitResolver(Tag.NULL, NULL_VALUE, "~n\0");
        addImplicitResolver(Tag.NULL, EMPTY, null);
        addImplicitResolver(Tag.MERGE, MERGE, "<");
    }
}
