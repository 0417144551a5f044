package org.azurearch.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Files of the repository that the tests run in. */
final class RepositoryFiles {
    private RepositoryFiles() {}

    /** Returns the root of the repository. */
    static Path root() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve("azurearch"))) {
            folder = folder.getParent();
        }
        return folder;
    }

    /** Returns the text of a file. */
    static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the main sources of all bundles, sorted. */
    static List<Path> mainSources() {
        try (Stream<Path> files = Files.walk(root())) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("/src/main/java/"))
                    .filter(file -> !file.toString().contains("/org.azurearch.thrift/"))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
