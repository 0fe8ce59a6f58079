# Options that every target of the project is compiled with.
add_library(flamingosaddle_options INTERFACE)
target_include_directories(flamingosaddle_options INTERFACE ${PROJECT_SOURCE_DIR}/include)
target_compile_options(flamingosaddle_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
# g++ 12 warns wrongly about std::string concatenation (its bug 105651).
target_compile_options(flamingosaddle_options INTERFACE -Wno-restrict)
# g++ 12 pairs a coroutine frame's operator new and delete wrongly once the coroutine is inlined.
target_compile_options(flamingosaddle_options INTERFACE -Wno-mismatched-new-delete)
# Boost 1.74 Asio uses std::exchange without including <utility>.
target_compile_options(flamingosaddle_options INTERFACE "SHELL:-include utility")
target_compile_definitions(flamingosaddle_options INTERFACE BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(flamingosaddle_options INTERFACE Threads::Threads)
set(CMAKE_CXX_FLAGS_SANITIZE "-O1 -g1 -fno-omit-frame-pointer")
if(FLAMINGOSADDLE_SANITIZE)
    target_compile_options(flamingosaddle_options INTERFACE -fsanitize=${FLAMINGOSADDLE_SANITIZE} -fno-sanitize-recover=all)
    target_link_options(flamingosaddle_options INTERFACE -fsanitize=${FLAMINGOSADDLE_SANITIZE})
    if(FLAMINGOSADDLE_SANITIZE STREQUAL "thread")
        # Asio uses fences, which g++ warns about under this sanitizer.
        target_compile_options(flamingosaddle_options INTERFACE -Wno-tsan)
    endif()
endif()

# flamingosaddle_module(NAME SOURCES... DEPENDS...) adds the library flamingosaddle_NAME.
function(flamingosaddle_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(flamingosaddle_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(flamingosaddle_${name} PUBLIC flamingosaddle_options ${ARG_DEPENDS})
endfunction()

# flamingosaddle_test(NAME SOURCES... DEPENDS... [LABELS...] [TIMEOUT seconds]) adds one GoogleTest program with a fixed
# seed for its properties.
function(flamingosaddle_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 60)
    endif()
    add_executable(${name} ${ARG_SOURCES})
    # Tests compile faster this way; what they test keeps its own options.
    target_compile_options(${name} PRIVATE $<$<CONFIG:Release>:-O1>)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} rapidcheck GTest::gtest GTest::gtest_main)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=1" TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}")
endfunction()
