package org.azurearch.node.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.micronaut.core.convert.exceptions.ConversionErrorException;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Error;
import io.micronaut.http.server.exceptions.NotAcceptableException;
import io.micronaut.http.server.exceptions.UnsupportedMediaException;
import java.util.concurrent.CompletionException;
import org.azurearch.admin.ProblemDetails;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.node.NodeEvent;

/** Answers every failed request with {@code application/problem+json}. */
@Controller
public final class ProblemHandlers {
    private static final MediaType PROBLEM_JSON = MediaType.of(ProblemDetails.MEDIA_TYPE);

    /** Answers an exception with an error code. */
    @Error(global = true)
    public HttpResponse<ProblemDetails> known(HttpRequest<?> request, AzurearchException e) {
        return answer(e);
    }

    /** Answers a failure of an asynchronous operation. */
    @Error(global = true)
    public HttpResponse<ProblemDetails> asynchronous(
            HttpRequest<?> request, CompletionException e) {
        return e.getCause() instanceof AzurearchException known
                ? answer(known)
                : unexpected(request, e);
    }

    /** Answers a request whose body is not the expected JSON. */
    @Error(global = true)
    public HttpResponse<ProblemDetails> malformed(
            HttpRequest<?> request, JsonProcessingException e) {
        return answer(
                new AzurearchException(
                        ErrorCode.BAD_REQUEST, "malformed JSON: " + e.getOriginalMessage()));
    }

    /** Answers a request with a parameter of the wrong type. */
    @Error(global = true)
    public HttpResponse<ProblemDetails> conversion(
            HttpRequest<?> request, ConversionErrorException e) {
        return answer(
                new AzurearchException(ErrorCode.BAD_REQUEST, String.valueOf(e.getMessage())));
    }

    /** Answers a request that accepts none of the resource's media types. */
    @Error(global = true)
    public HttpResponse<ProblemDetails> notAcceptable(
            HttpRequest<?> request, NotAcceptableException e) {
        return answer(
                new AzurearchException(ErrorCode.NOT_ACCEPTABLE, String.valueOf(e.getMessage())));
    }

    /** Answers a request with a body of an unsupported media type. */
    @Error(global = true)
    public HttpResponse<ProblemDetails> unsupported(
            HttpRequest<?> request, UnsupportedMediaException e) {
        return answer(
                new AzurearchException(
                        ErrorCode.UNSUPPORTED_MEDIA_TYPE, String.valueOf(e.getMessage())));
    }

    /** Answers a request to an unknown path. */
    @Error(status = HttpStatus.NOT_FOUND, global = true)
    public HttpResponse<ProblemDetails> notFound(HttpRequest<?> request) {
        return answer(
                new AzurearchException(ErrorCode.NOT_FOUND, "no resource " + request.getPath()));
    }

    /** Answers a request with a method that the resource does not support. */
    @Error(status = HttpStatus.METHOD_NOT_ALLOWED, global = true)
    public HttpResponse<ProblemDetails> methodNotAllowed(HttpRequest<?> request) {
        return answer(
                new AzurearchException(
                        ErrorCode.METHOD_NOT_ALLOWED,
                        request.getMethodName() + " is not supported by this resource"));
    }

    /** Answers a request that cannot be bound to the parameters of its resource. */
    @Error(status = HttpStatus.BAD_REQUEST, global = true)
    public HttpResponse<ProblemDetails> badRequest(HttpRequest<?> request) {
        return answer(
                new AzurearchException(
                        ErrorCode.BAD_REQUEST,
                        "the request does not match the parameters of this resource"));
    }

    /** Answers a request with too large a body. */
    @Error(status = HttpStatus.REQUEST_ENTITY_TOO_LARGE, global = true)
    public HttpResponse<ProblemDetails> tooLarge(HttpRequest<?> request) {
        return answer(new AzurearchException(ErrorCode.TOO_LARGE, "the body is too large"));
    }

    /** Logs any other exception and answers it with an internal error. */
    @Error(global = true)
    public HttpResponse<ProblemDetails> unexpected(HttpRequest<?> request, RuntimeException e) {
        EventLog.log(NodeEvent.ADMIN_REQUEST_FAILED, e, request.getPath(), e.toString());
        return answer(
                new AzurearchException(
                        ErrorCode.INTERNAL, "internal error; see the log of the node"));
    }

    private static HttpResponse<ProblemDetails> answer(AzurearchException e) {
        int status = e.code().httpStatus();
        return HttpResponse.<ProblemDetails>status(status, e.code().code())
                .body(ProblemDetails.of(e))
                .contentType(PROBLEM_JSON);
    }
}
