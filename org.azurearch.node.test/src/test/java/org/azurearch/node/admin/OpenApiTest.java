package org.azurearch.node.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import java.lang.annotation.Annotation;
import java.lang.reflect.Method;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.azurearch.junit.RepositoryFiles;
import org.junit.jupiter.api.Test;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;

/** Checks that docs/openapi.yaml lists exactly the operations that the controllers serve. */
class OpenApiTest {
    private static final List<Class<?>> CONTROLLERS =
            List.of(
                    BackendController.class,
                    ChangesController.class,
                    ConfigController.class,
                    ContainmentController.class,
                    MetricsController.class,
                    StateController.class);

    @Test
    void documentedAndServedOperationsAreTheSame() {
        assertEquals(served(), documented());
    }

    private static Set<String> served() {
        Set<String> operations = new TreeSet<>();
        for (Class<?> controller : CONTROLLERS) {
            String prefix = controller.getAnnotation(Controller.class).value();
            for (Method method : controller.getDeclaredMethods()) {
                for (Annotation annotation : method.getAnnotations()) {
                    addOperation(prefix, annotation, operations);
                }
            }
        }
        return operations;
    }

    private static void addOperation(String prefix, Annotation annotation, Set<String> operations) {
        String path =
                annotation instanceof Get get
                        ? get.value()
                        : annotation instanceof Post post
                                ? post.value()
                                : annotation instanceof Put put
                                        ? put.value()
                                        : annotation instanceof Delete delete
                                                ? delete.value()
                                                : null;
        if (path != null) {
            String method = annotation.annotationType().getSimpleName().toLowerCase(Locale.ROOT);
            operations.add(method + " " + prefix + (path.equals("/") ? "" : path));
        }
    }

    private static Set<String> documented() {
        Yaml yaml = new Yaml(new SafeConstructor(new LoaderOptions()));
        Map<?, ?> page =
                yaml.load(
                        RepositoryFiles.read(RepositoryFiles.root().resolve("docs/openapi.yaml")));
        Set<String> operations = new TreeSet<>();
        Map<?, ?> paths = (Map<?, ?>) page.get("paths");
        paths.forEach(
                (path, methods) ->
                        ((Map<?, ?>) methods)
                                .keySet()
                                .forEach(method -> operations.add(method + " " + path)));
        return operations;
    }
}
