package org.azurearch.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.azurearch.config.Provenance;
import org.azurearch.errors.SourceLocation;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlList;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlNode;
import org.azurearch.yaml.YamlScalar;

/** Prints a merged document as YAML; the same content always gives the same text. */
public final class MergedPrinter {
    private static final Pattern UNQUOTED =
            Pattern.compile("[A-Za-z/][A-Za-z0-9._/-]*|[0-9]+[a-z]+");
    private static final List<String> RESERVED_WORDS = List.of("true", "false", "null");
    private static final String INDENT = "  ";

    private final YamlMapping mMerged;
    private final StringBuilder mText = new StringBuilder();
    private final List<Provenance> mValues = new ArrayList<>();
    private boolean mExplain;

    /** Creates a printer of a merged document. */
    public MergedPrinter(YamlMapping merged) {
        mMerged = merged;
    }

    /** Returns the YAML text. */
    public String text() {
        mText.setLength(0);
        appendMapping(mMerged, "", "");
        return mText.toString();
    }

    /** Returns the YAML text with the source file and line of each value in a comment. */
    public String explained() {
        mExplain = true;
        String text = text();
        mExplain = false;
        return text;
    }

    /** Returns each value with its dotted path and source location, in printed order. */
    public List<Provenance> values() {
        mValues.clear();
        text();
        return List.copyOf(mValues);
    }

    private void appendMapping(YamlMapping mapping, String path, String indent) {
        for (YamlEntry entry : mapping.entries().values()) {
            String entryPath = path.isEmpty() ? entry.key() : path + "." + entry.key();
            mText.append(indent).append(entry.key()).append(':');
            if (entry.value() instanceof YamlMapping nested && !nested.entries().isEmpty()) {
                mText.append('\n');
                appendMapping(nested, entryPath, indent + INDENT);
            } else {
                appendValue(entry, entryPath);
            }
        }
    }

    private void appendValue(YamlEntry entry, String path) {
        String value = inline(entry.value());
        mText.append(' ').append(value);
        if (!(entry.value() instanceof YamlMapping)) {
            SourceLocation location = displayLocation(entry.location());
            mValues.add(new Provenance(path, value, location));
            if (mExplain) {
                mText.append("  # ").append(location.name());
            }
        }
        mText.append('\n');
    }

    /** Returns a location for display; a default has no line. */
    static SourceLocation displayLocation(SourceLocation location) {
        boolean isDefault = location.file().equals(Defaults.FILE);
        return isDefault ? new SourceLocation(Defaults.FILE, 0) : location;
    }

    /** Returns a value on one line. */
    public static String inline(YamlNode node) {
        if (node instanceof YamlScalar scalar) {
            return scalar.value() instanceof String text ? quoted(text) : scalar.text();
        }
        if (node instanceof YamlList list) {
            List<String> items = list.items().stream().map(MergedPrinter::inline).toList();
            return "[" + String.join(", ", items) + "]";
        }
        List<String> fields = new ArrayList<>();
        for (YamlEntry entry : ((YamlMapping) node).entries().values()) {
            fields.add(entry.key() + ": " + inline(entry.value()));
        }
        return "{" + String.join(", ", fields) + "}";
    }

    private static String quoted(String text) {
        boolean unquoted = UNQUOTED.matcher(text).matches() && !RESERVED_WORDS.contains(text);
        return unquoted ? text : "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
